package deposit

// Faults of a read; 0 is none.
const (
	readUnavailable = 1 + iota
	readStale       // only after a first write
)

// Faults of a swap; 0 is none.
const (
	swapAnswerLost = 1 + iota // takes effect, but the answer is lost
	swapDelayed               // takes effect later or never, and the answer is lost
	swapUnavailable
	swapConflicts                 // another write takes effect first
	numSwapFaults = swapConflicts // number of faults
)

// executeStoreCall makes a store call and returns its answer.
func (s *simulation) executeStoreCall(a Action) Event {
	switch a := a.(type) {
	case ReadSlot:
		return s.read(a)
	case SwapSlot:
		return s.swap(a)
	}
	return nil
}

func (s *simulation) read(a ReadSlot) Event {
	e := SlotRead{Call: a.Call, Result: ResultOK, Revision: s.revision, Slot: s.slot}
	numFaults := readUnavailable
	if s.revision > 0 {
		numFaults = readStale
	}
	switch s.injectFault(numFaults, "read") {
	case readStale:
		e = s.history[s.choose(len(s.history), "age")]
		e.Call = a.Call
	case readUnavailable:
		return SlotRead{Call: a.Call, Result: ResultUnavailable}
	}
	if e.Revision == 0 {
		e.Result = ResultMissing
	}
	return e
}

func (s *simulation) swap(a SwapSlot) Event {
	e := SlotSwapped{Call: a.Call, Result: ResultUnsure}
	switch s.injectFault(numSwapFaults, "swap") {
	case swapAnswerLost:
		s.write(a)
		return e
	case swapDelayed:
		s.delayedWrites = append(s.delayedWrites, a)
		return e
	case swapUnavailable:
		e.Result = ResultUnavailable
		return e
	case swapConflicts:
		s.write(SwapSlot{ExpectedRevision: s.revision, Slot: s.slot})
	}
	e.Result = ResultConflict
	if s.write(a) {
		e.Result = ResultOK
		e.Revision = s.revision
	}
	return e
}

// write replaces the slot by compare-and-swap and reports whether it did.
func (s *simulation) write(a SwapSlot) bool {
	if a.ExpectedRevision != s.revision {
		return false
	}
	s.history = append(s.history, SlotRead{Result: ResultOK, Revision: s.revision, Slot: s.slot})
	s.revision++
	s.slot = a.Slot
	return true
}
