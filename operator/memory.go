package operator

import (
	"os"
	"runtime"
	"runtime/debug"
)

// gcPercent is half of Go's default. It halves the garbage that a heap of a few MB
// may hold: the smallest heap goal is 2 MB instead of 4 MB.
const gcPercent = 50

// LimitMemory configures the garbage collector of this process for a daemon of 32 MB
// and returns freed memory to the operating system. It is called once, after start.
//
// It sets no memory limit for the runtime (debug.SetMemoryLimit): once live data and
// stacks come near such a limit, the collector runs continuously and takes most of a
// core. The bounds in the settings limit the memory instead.
func LimitMemory() {
	debug.SetGCPercent(gcPercent)
	debug.FreeOSMemory()
}

// maxProcessors bounds the threads that run Go code at the same time. A daemon needs
// a few percent of one core; with more threads the runtime spends more time on waking
// and stopping them than on calls. The second one processes calls while a
// configuration is read or garbage is collected.
const maxProcessors = 2

// LimitProcessors lowers GOMAXPROCS to maxProcessors unless the environment sets
// GOMAXPROCS.
func LimitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > maxProcessors {
		runtime.GOMAXPROCS(maxProcessors)
	}
}
