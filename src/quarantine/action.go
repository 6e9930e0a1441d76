package quarantine

// Action is an output of Core.
type Action interface{ isAction() }

// Broadcast requests that all other daemons be told of crashes and probes.
type Broadcast struct {
	Crashes []Crash
	Probes  []Probe
}

// Quarantined reports that a request is kept from backend servers from now on.
type Quarantined struct {
	Content uint64
	Crashes []Crash // not cleared, by time
}

// Cleared reports that a request that was quarantined is allowed again.
type Cleared struct{ Content uint64 }

func (Broadcast) isAction()   {}
func (Quarantined) isAction() {}
func (Cleared) isAction()     {}
