package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

const (
	// memoryTarget limits the resident memory of one daemon and processorTarget the
	// processor time of its control work. Both are checked on idle daemons.
	memoryTarget    = 32 << 10 // kB
	processorTarget = 0.012    // of a core
	idleSpan        = 20 * time.Second
	loadSpan        = 30 * time.Second
)

// Measures resident memory and processor time of idle daemons and of a daemon under
// 110 calls/s, at several sizes of the configuration. Guards against control work
// above its limits.
func TestMeasureIdleAndLoaded(t *testing.T) {
	requireMeasure(t)
	for _, upstreams := range []int{12, 48, 144, 720} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			f := newMeasuredFleet(t, upstreams, 12, nil)
			time.Sleep(5 * time.Second) // start, first reads and first exchanges
			f.measureIdle(t)
			entry, target := f.vms[f.upstream(entryService, 0)].daemon, f.vms[f.upstream(targetService, 0)].daemon
			url := "http://" + f.vms[f.upstream(entryService, 0)].daemonSettings.Listeners.Callers + "/" + targetService
			for _, rate := range []int{110, 330} {
				before := [2]time.Duration{entry.processorTime(t), target.processorTime(t)}
				f.openLoop(t, measuredCalls[0], url+measuredCalls[0].path, rate, loadSpan)
				t.Logf("%d calls/s: entry uses %.2f%% of a core, %v; upstream's daemon %.2f%%, %v", rate,
					percentOfCore(entry.processorTime(t)-before[0], loadSpan), entry.memory(t),
					percentOfCore(target.processorTime(t)-before[1], loadSpan), target.memory(t))
			}
		})
	}
}

func percentOfCore(used, span time.Duration) float64 { return 100 * used.Seconds() / span.Seconds() }

func (f *fleet) measureIdle(t *testing.T) {
	before := make(map[string]time.Duration)
	for name, v := range f.vms {
		before[name] = v.daemon.processorTime(t)
	}
	time.Sleep(idleSpan)
	var shares, resident []float64
	for name, v := range f.vms {
		shares = append(shares, percentOfCore(v.daemon.processorTime(t)-before[name], idleSpan))
		resident = append(resident, mb(v.daemon.memory(t).resident))
	}
	used, residentMB := median(shares), median(resident)
	t.Logf("idle: %.2f%% of a core (%.2f..%.2f), resident %.1f MB (%.1f..%.1f); %v", used, shares[0], shares[len(shares)-1],
		residentMB, resident[0], resident[len(resident)-1], f.vms[f.upstream(entryService, 0)].daemon.memory(t))
	if used > 100*processorTarget {
		t.Errorf("an idle daemon uses %.2f%% of a core, the limit is %.1f%%", used, 100*processorTarget)
	}
	if residentMB > mb(memoryTarget) {
		t.Errorf("an idle daemon has %.1f MB resident, the limit is %.0f MB", residentMB, mb(memoryTarget))
	}
}

// Measures resident memory with a full at-most-once table, without and with a full
// store of answers, and the processor time of keyed calls while the table fills.
// Guards against a table that exceeds the memory of the daemon, and against garbage
// collection that never ends.
func TestMeasureFullTable(t *testing.T) {
	requireMeasure(t)
	for _, answerBytes := range []int{0, settings.Default().Limits.AnswerBytes} {
		t.Run(fmt.Sprintf("answer_bytes=%d", answerBytes), func(t *testing.T) {
			f := newMeasuredFleet(t, 720, 2, func(s *settings.Settings) { s.Limits.AnswerBytes = answerBytes })
			target := f.vms[f.upstream(targetService, 0)]
			records := target.daemonSettings.Limits.RecordLimit
			url := "http://" + target.daemonSettings.Listeners.Callers + "/" + targetService + "/confirm"
			c := measuredCall{method: http.MethodPost, keyed: true, body: strings.Repeat("x", 200)}
			time.Sleep(2 * time.Second) // keys that an earlier incarnation may have run are refused
			t.Logf("empty: %v", target.daemon.memory(t))
			const steps, rate = 4, 2000
			for i := range steps {
				before := target.daemon.processorTime(t)
				span := time.Duration(records/steps) * time.Second / rate
				f.openLoop(t, c, url, rate, span)
				t.Logf("%d records: %v; %v of a core per call", (i+1)*records/steps, target.daemon.memory(t),
					(target.daemon.processorTime(t)-before)/time.Duration(records/steps))
			}
		})
	}
}

// Prints the bytes of one read of the configuration and of the VM list. Guards
// against a configuration above the 1 MB that the configuration service holds.
func TestMeasurePlatformReads(t *testing.T) {
	requireMeasure(t)
	for _, upstreams := range []int{12, 48, 144, 720} {
		conf := measuredConfig(upstreams)
		envelope, err := config.Seal(conf)
		if err != nil {
			t.Fatal(err)
		}
		var list []membership.Record
		for _, s := range conf.Services {
			for _, u := range s.Upstreams {
				list = append(list, membership.Record{Name: u.Name, Service: s.Name, State: membership.Live, Zone: u.Zone,
					Region: u.Region, PeerAddress: "10.111.122.133:7001", ControlAddress: "10.111.122.133:7003"})
			}
		}
		data, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d upstreams: configuration %d bytes, list %d bytes", upstreams, len(envelope.Body), len(data))
		if len(envelope.Body) > 1<<20 {
			t.Errorf("the configuration has %d bytes", len(envelope.Body))
		}
	}
}
