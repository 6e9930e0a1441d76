package deposit

// Ways in which the store answers, besides the undisturbed one.
const (
	readUnavailable = 1 + iota
	readStale       // when there has been a write
)

const (
	swapLost     = 1 + iota // takes effect, the answer is lost
	swapInFlight            // takes effect later or never, the answer is lost
	swapUnavailable
	swapCrossed // somebody else's write comes first
	swaps       = swapCrossed
)

// answer carries out a store call.
func (w *world) answer(a Action) Event {
	switch a := a.(type) {
	case ReadSlot:
		return w.read(a)
	case SwapSlot:
		return w.swap(a)
	}
	return nil
}

func (w *world) read(a ReadSlot) Event {
	e := SlotRead{Call: a.Call, Result: ResultOK, Revision: w.revision, Slot: w.slot}
	ways := readUnavailable
	if w.revision > 0 {
		ways = readStale
	}
	switch w.disturb(ways, "read") {
	case readStale:
		e = w.history[w.choose(len(w.history), "age")]
		e.Call = a.Call
	case readUnavailable:
		return SlotRead{Call: a.Call, Result: ResultUnavailable}
	}
	if e.Revision == 0 {
		e.Result = ResultMissing
	}
	return e
}

func (w *world) swap(a SwapSlot) Event {
	e := SlotSwapped{Call: a.Call, Result: ResultUnsure}
	switch w.disturb(swaps, "swap") {
	case swapLost:
		w.write(a)
		return e
	case swapInFlight:
		w.flights = append(w.flights, a)
		return e
	case swapUnavailable:
		e.Result = ResultUnavailable
		return e
	case swapCrossed:
		w.write(SwapSlot{ExpectedRevision: w.revision, Slot: w.slot})
	}
	e.Result = ResultConflict
	if w.write(a) {
		e.Result = ResultOK
		e.Revision = w.revision
	}
	return e
}

// write is the store's compare-and-swap.
func (w *world) write(a SwapSlot) bool {
	if a.ExpectedRevision != w.revision {
		return false
	}
	w.history = append(w.history, SlotRead{Result: ResultOK, Revision: w.revision, Slot: w.slot})
	w.revision++
	w.slot = a.Slot
	return true
}
