package faults

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/operator"
)

// inForceWithin is the bound for connected daemons in docs/design.md.
const inForceWithin = 5 * time.Second

// Steps of a configuration.
const (
	published = "published"
	read      = "read"
	relayed   = "relayed"
	inForce   = "in force"
)

func configCells() []cell {
	newCell := func(fault, step string, run func(f *fleet) []string) cell {
		return cell{fault: fault, step: step, invariants: "8", run: run}
	}
	return []cell{
		newCell("no fault", published, func(f *fleet) []string { f.publish(testConfig(2)); return f.awaitVersion(2) }),
		newCell("configuration service down", published, func(f *fleet) []string {
			return f.duringPlatformFault(standin.PlatformFaults{Down: true}, 1)
		}),
		newCell("configuration service stale", published, func(f *fleet) []string {
			return f.duringPlatformFault(standin.PlatformFaults{StaleVersion: 1}, 1)
		}),
		newCell("configuration service slow", published, func(f *fleet) []string {
			return f.duringPlatformFault(standin.PlatformFaults{Delay: 5 * time.Second}, 1)
		}),
		newCell("configuration service answers late", read, func(f *fleet) []string {
			f.platform.SetFaults(standin.PlatformFaults{Delay: 500 * time.Millisecond})
			f.publish(testConfig(2))
			return f.awaitVersion(2)
		}),
		newCell("configuration service serves an older version", inForce, olderVersion),
		newCell("configuration service serves garbage", read, func(f *fleet) []string {
			return f.duringPlatformFault(standin.PlatformFaults{Garbage: true}, 1)
		}),
		newCell("envelope with a wrong checksum", read, wrongChecksum),
		newCell("1 MB configuration that only one daemon can read", read+" and "+relayed, largeConfigRelayed),
		newCell("only one daemon reaches the configuration service", relayed, oneDaemonReads),
		newCell("two envelopes of the same version with other content", read, conflict),
		newCell("partition and heal", relayed, partitionedConfig),
		newCell("daemon restarted", inForce, restartedConfig),
		newCell("daemon paused and woken", relayed, pausedConfig),
		{fault: "VM list without a live VM", step: published, invariants: "4", run: missingVM},
		{fault: "VM list empty", step: published, invariants: "4", run: emptyList},
	}
}

// awaitVersion checks that every daemon has a version in force within inForceWithin.
func (f *fleet) awaitVersion(version uint64) []string {
	for end := time.Now().Add(inForceWithin); time.Now().Before(end); {
		if f.allHaveVersion(version) {
			return nil
		}
		f.sleep(100 * time.Millisecond)
	}
	var late []string
	for _, u := range f.upstreams {
		if u.version != version {
			late = append(late, fmt.Sprintf("%s has version %d instead of %d after %v", u.name, u.version, version, inForceWithin))
		}
	}
	return late
}

func (f *fleet) allHaveVersion(version uint64) bool {
	f.checkVersions()
	for _, u := range f.upstreams {
		if u.version != version {
			return false
		}
	}
	return true
}

// duringPlatformFault publishes a new version while the configuration service is faulty.
// After 20 s the version before it must still be in force and requests must be answered;
// after the fault the new version must come into force.
func (f *fleet) duringPlatformFault(faults standin.PlatformFaults, before uint64) []string {
	f.platform.SetFaults(faults)
	f.publish(testConfig(before + 1))
	f.sleep(20 * time.Second)
	var problems []string
	if !f.allHaveVersion(before) {
		problems = append(problems, "another version than the last accepted one is in force")
	}
	problems = append(problems, f.recovered()...)
	f.platform.SetFaults(standin.PlatformFaults{})
	return append(problems, f.awaitVersion(before+1)...)
}

func olderVersion(f *fleet) []string {
	f.publish(testConfig(2))
	problems := f.awaitVersion(2)
	f.platform.SetFaults(standin.PlatformFaults{StaleVersion: 1, IgnoreNewerThan: true})
	f.sleep(5 * time.Second)
	f.restart("stock-a", 50*time.Millisecond)
	// The restarted daemon may start with the stale version and must get the newer one
	// from its peers.
	return append(problems, f.awaitVersion(2)...)
}

func wrongChecksum(f *fleet) []string {
	e := f.publish(testConfig(2))
	e.Checksum = strings.Repeat("0", len(e.Checksum))
	f.platform.Publish(e)
	f.sleep(5 * time.Second)
	var problems []string
	if !f.allHaveVersion(1) {
		problems = append(problems, "an envelope with a wrong checksum is in force")
	}
	problems = append(problems, f.recovered()...)
	f.publish(testConfig(3))
	return append(problems, f.awaitVersion(3)...)
}

// largeConfig returns a configuration whose sheet brings the envelope close to 1 MB.
func largeConfig(version uint64) *config.Config {
	c := testConfig(version)
	for i := range 400 {
		d := config.Day{Date: time.Now().AddDate(0, 0, i).Format(time.DateOnly)}
		for h := range 24 {
			d.Windows = append(d.Windows, config.Window{
				Start: fmt.Sprintf("%02d:00", h), End: fmt.Sprintf("%02d:59", h), Service: "order", CallsPerSecond: 1000,
			})
		}
		c.Sheet.Days = append(c.Sheet.Days, d)
		if data, _ := json.Marshal(c); len(data) > 900_000 {
			break
		}
	}
	return c
}

// leaveOneReader cuts all daemons but the named one off from the platform.
func (f *fleet) leaveOneReader(name string) {
	for _, u := range f.upstreams {
		if u.name != name {
			f.net.setBothRules(u.name, "platform", blocked(true))
		}
	}
}

func largeConfigRelayed(f *fleet) []string {
	f.leaveOneReader("stock-c")
	f.publish(largeConfig(2))
	return f.awaitVersion(2)
}

func oneDaemonReads(f *fleet) []string {
	f.leaveOneReader("order-b")
	f.publish(testConfig(2))
	return f.awaitVersion(2)
}

// conflict publishes other content under the version in force. Every daemon keeps the
// configuration it has, counts the conflict and accepts the next version.
func conflict(f *fleet) []string {
	other := testConfig(1)
	other.Services[0].Kinds[0].Retries = 0
	f.publish(other)
	f.platform.SetFaults(standin.PlatformFaults{StaleVersion: 1, IgnoreNewerThan: true})
	f.sleep(3 * time.Second)
	var problems []string
	for _, u := range f.upstreams {
		if u.daemon.Counters().EventCount(operator.EventConfigConflict) == 0 {
			problems = append(problems, u.name+" did not count the conflict")
		}
	}
	f.platform.SetFaults(standin.PlatformFaults{})
	f.publish(testConfig(2))
	return append(problems, f.awaitVersion(2)...)
}

func partitionedConfig(f *fleet) []string {
	f.partition(true)
	f.publish(testConfig(2))
	f.sleep(20 * time.Second)
	f.partition(false)
	return f.awaitVersion(2)
}

func restartedConfig(f *fleet) []string {
	f.publish(testConfig(2))
	problems := f.awaitVersion(2)
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	f.restart("order-c", 50*time.Millisecond)
	f.platform.SetFaults(standin.PlatformFaults{StaleVersion: 1})
	return append(problems, f.awaitVersion(2)...)
}

func pausedConfig(f *fleet) []string {
	f.background(func() { f.pause("order-c", 8*time.Second) })
	time.Sleep(time.Second)
	f.publish(testConfig(2))
	f.sleep(8 * time.Second)
	return f.awaitVersion(2)
}

func missingVM(f *fleet) []string {
	f.removeFromVMList(home)
	f.sleep(5 * time.Second)
	return f.recovered()
}

func emptyList(f *fleet) []string {
	f.platform.SetVMs(nil)
	f.sleep(5 * time.Second)
	return f.recovered()
}
