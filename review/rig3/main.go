// Command rig3 plays the cases of the third review: a small deployment on loopback addresses, with daemons as
// processes of their own and with stand-ins of the store, the backend servers and the clients in this process.
//
//	rig3 CASE BINARY RECORD TROUBLE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
	"time"
)

// longestCase bounds the time of a case.
const longestCase = 110 * time.Second

// play plays one case and reports whether its rule was broken.
type play func(binary string, trouble bool, record io.Writer) (broken bool, err error)

var cases = map[string]play{
	"version": playGarble(wrongVersion),
	"seal":    playGarble(wrongSealName),
	"refused": playRefused,
	"head":    playHead,
	"path":    playPath,
}

func main() {
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	if len(args) != 4 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE BINARY RECORD TROUBLE")
		return 2
	}
	record, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	out := io.MultiWriter(record, os.Stdout)
	time.AfterFunc(longestCase, func() {
		fmt.Fprintln(out, "the case did not end in time")
		os.Exit(2) // the daemons get SIGKILL with this process
	})
	broken, err := cases[args[0]](args[1], args[3] != "0", out)
	switch {
	case err != nil:
		fmt.Fprintln(out, "the case could not run:", err)
		return 2
	case broken:
		fmt.Fprintln(out, "the rule was broken")
		return 1
	}
	fmt.Fprintln(out, "the rule held")
	return 0
}
