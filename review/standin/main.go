// Command standin plays the cases of the review: it starts the daemons of a small deployment with the
// command of the deploy file, beside a store, backend servers and clients of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case.
const (
	held     = 0
	broken   = 1
	notShown = 2
)

var cases = map[string]func(rec *record, trouble bool) (result int, err error){
	"malformed-answer": malformedAnswer,
	"odd-entry":        oddEntry,
	"old-limits":       oldLimits,
	"large-entry":      largeEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(notShown)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notShown)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		killAll()
		os.Exit(notShown)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(notShown)
	}
	os.Exit(result)
}

// conclude records a verdict and returns it.
func conclude(rec *record, isBroken bool, format string, args ...any) (int, error) {
	verdict, result := "held", held
	if isBroken {
		verdict, result = "broken", broken
	}
	text := fmt.Sprintf("the rule was %s: ", verdict) + fmt.Sprintf(format, args...)
	rec.add("%s", text)
	fmt.Println(text)
	return result, nil
}
