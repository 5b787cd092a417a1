// Package earlysignals handles the signals of a daemon's process from the earliest moment at which
// a program can, so that none of them ends the process like a fault before its command begins.
//
// On Linux with cgo and glibc, a constructor runs before the Go runtime: until Receive, SIGHUP has
// no effect, because the settings have not been read, and SIGTERM and SIGINT end the process with
// exit code 0, because it holds no requests. The Go runtime keeps an ignored SIGHUP, and passes
// signals that nothing receives on to the handler that it found. It does not keep a signal mask:
// it unblocks these signals in each of its threads. Without cgo, the signals are received from the
// initialisation of this package on, which is ready as soon as os/signal is.
//
// Signals that arrive before the dynamic linker has called the constructor still have their default
// action, unless the parent process has started the program with them blocked, or SIGHUP ignored.
package earlysignals

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// commands are the commands that run until they are stopped. Others end at once by a signal.
// isDaemon in handle_linux.c names the same.
var commands = []string{"daemon", "sidecar"}

// Signals that arrive before the previous one has been handled may be merged with it.
var stop, reload = make(chan os.Signal, 1), make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && slices.Contains(commands, os.Args[1]) {
		Receive()
	}
}

// Receive returns the channels of the process that receive SIGTERM and SIGINT, and SIGHUP, until
// the process ends. It may be called more than once.
func Receive() (stopRequests, reloadRequests chan os.Signal) {
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return stop, reload
}
