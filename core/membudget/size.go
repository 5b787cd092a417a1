package membudget

const (
	// LeastMemoryBytes is the smallest memory limit with which a daemon starts: what an idle one takes, and
	// a budget that holds some first parts of bodies.
	LeastMemoryBytes = 64 << 20
	// LeastDescriptors is the smallest descriptor limit with which a daemon starts: its listeners, the store,
	// some peers, and some connections of callers.
	LeastDescriptors = 64
	// memoryShare is the share of the process's memory limit that the budget has. Twice the share goes to
	// garbage that has not been collected; the rest is for the program, the replica and what core/bodyparts bounds.
	memoryShare = 0.3
	// descriptorShare is the share of the descriptor limit for callers and the local backend server. The
	// rest is kept for peers, the store and the listeners.
	descriptorShare = 0.8
)

// ForMemory returns the budget of a process with a memory limit in bytes, without a bound if that is 0.
func ForMemory(limit int64) *Budget { return New(int64(memoryShare * float64(limit))) }

// ForDescriptors returns the budget of a process with a descriptor limit, without a bound if that is 0.
func ForDescriptors(limit int64) *Budget { return New(int64(descriptorShare * float64(limit))) }
