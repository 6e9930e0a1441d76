package standin

// Calls counts the calls that the store stand-in has received.
type Calls struct {
	Reads   uint64 `json:"reads"`   // gets and watches, a waiting watch once
	Writes  uint64 `json:"writes"`  // swaps, deletes and all lease calls
	Watches uint64 `json:"watches"` // the watches among Reads
	Refused uint64 `json:"refused"` // the calls among Reads and Writes that were down or over the rate
}
