package main

import (
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) < 5 {
		fail2("usage: rig2 CASE BINARY RECORD TROUBLE")
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fail2("ended by signal %v", <-ended) }()
	binary, record, trouble := os.Args[2], os.Args[3], os.Args[4] != "0"
	switch os.Args[1] {
	case "behind-broken":
		behindBroken(binary, record, trouble)
	case "frozen-rest":
		frozenRest(binary, record, trouble)
	case "two-owners":
		twoOwners(binary, record, trouble)
	case "late-calls":
		lateCalls(binary, record, trouble)
	}
	fail2("unknown case %q", os.Args[1])
}
