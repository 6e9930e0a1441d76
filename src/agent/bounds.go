package agent

// Shares of the process's memory and descriptors, one in so many; see docs/CAPACITY.md.
const (
	memoryDivisor      = 10 // each for callers' connections, for their requests, for the links and for bodies beside the backend server
	callerConnsDivisor = 3  // of the descriptors; half as many more may be open while they are refused or end
	linksDivisor       = 8  // of the descriptors, for the dialled and for the accepted links

	maxBodyMemory = 32 << 20 // bytes, for the links and for bodies beside the backend server
)

// memoryShare returns a share of the memory in bytes.
func (s Settings) memoryShare() int { return s.MemoryMB << 20 / memoryDivisor }

// bodyMemory returns the bytes for the links, and for bodies beside the backend server.
func (s Settings) bodyMemory() int { return min(maxBodyMemory, s.memoryShare()) }
