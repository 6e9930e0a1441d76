package rollout

// Server is a backend server of a service under an order.
type Server struct {
	ID      uint64 // of the member beside it
	Domain  string // failure domain
	Version string
	Slots   int  // requests that it runs at once
	Ready   bool // alive, answers, and is not leaving
}
