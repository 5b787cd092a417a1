package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// requireMeasure skips a measurement unless HAWTHORNPOINT_MEASURE is 1: it takes a
// minute or more, and its results are meaningless on a machine that runs other tests.
func requireMeasure(t *testing.T) {
	t.Helper()
	if os.Getenv("HAWTHORNPOINT_MEASURE") != "1" {
		t.Skip("set HAWTHORNPOINT_MEASURE=1 to measure")
	}
}

const (
	entryService  = "entry"
	targetService = "target"
	// chainDepth is the number of services in the longest chain of calls at the size
	// expected in two years.
	chainDepth  = 7
	maxServices = 21
	zones       = 6
)

// measuredConfig returns a configuration with the given number of upstreams in up to
// 21 services and 6 zones. The services entry and target have one upstream each, so
// that a keyed call has a known home.
func measuredConfig(upstreams int) *config.Config {
	count := min(maxServices, upstreams/3)
	conf := &config.Config{Version: 1}
	for i := range count {
		conf.Services = append(conf.Services, config.Service{Name: serviceName(i), Kinds: measuredKinds(i, count)})
	}
	for i := range upstreams {
		service := i
		if i >= 2 {
			service = 2 + (i-2)%(count-2)
		}
		s := &conf.Services[service]
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: fmt.Sprintf("%s-%d", s.Name, len(s.Upstreams)), Zone: fmt.Sprintf("zone-%d", i%zones),
			Region: fmt.Sprintf("region-%d", i%zones/3), Slots: 140, Connections: 900,
		})
	}
	return conf
}

func serviceName(i int) string {
	return [...]string{entryService, targetService}[min(i, 1)] + strings.Repeat(fmt.Sprintf("-%d", i), min(i/2, 1))
}

// measuredKinds returns the kinds of a service. The measured ones have no downstream
// calls; "page" links the services into chains, which determine whose records a
// daemon keeps in full.
func measuredKinds(service, count int) []config.Kind {
	page := config.Kind{Name: "page", Method: "GET", Path: "/page", Rank: 6, Idempotent: true, PatienceMS: 5000, Retries: 2}
	if next := service + 1; next%chainDepth != 0 && next < count {
		page.Calls = []config.Target{{Service: serviceName(next), Kind: "page"}}
	}
	return []config.Kind{
		{Name: "read", Method: "GET", Path: "/read/{id}", Rank: 5, Idempotent: true, PatienceMS: 5000, Retries: 2},
		{Name: "search", Method: "POST", Path: "/search", Rank: 5, Idempotent: true, PatienceMS: 5000, Retries: 2},
		{Name: "confirm", Method: "POST", Path: "/confirm", Rank: 0, PatienceMS: 5000, Retries: 2},
		page,
	}
}

// newMeasuredFleet starts only the first daemons of a configuration of many
// upstreams, and one backend server. VMs without a process are listed with the
// addresses of started daemons, so that every daemon finds the complete fleet in its
// list and reaches a peer at each address.
func newMeasuredFleet(t *testing.T, upstreams, daemons int, adjust func(*settings.Settings)) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(), conf: measuredConfig(upstreams), vms: make(map[string]*vm),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 20 * time.Second},
	}
	platformURL := "http://" + freeAddress(t)
	var started []*vm
	var records []membership.Record
	for _, s := range f.conf.Services {
		for _, u := range s.Upstreams {
			if len(started) < daemons {
				v := f.newVM(s.Name, u, platformURL)
				if adjust != nil {
					adjust(&v.daemonSettings)
					f.write(u.Name+".json", v.daemonSettings)
				}
				f.vms[u.Name] = v
				started = append(started, v)
			}
			l := started[len(records)%len(started)].daemonSettings.Listeners
			records = append(records, membership.Record{Name: u.Name, Service: s.Name, State: membership.Live,
				Zone: u.Zone, Region: u.Region, PeerAddress: l.Peers, ControlAddress: l.Control})
		}
	}
	f.startPlatform(platformURL, records)
	target := f.vms[f.upstream(targetService, 0)].daemonSettings
	options := standin.BackendOptions{Address: target.Backend, Config: f.conf, Service: targetService, Slots: 140, QueueLimit: 140}
	startProcess(t, "stand-in", "backend", f.write("backend.json", options))
	for name := range f.vms {
		f.startDaemon(name)
	}
	for name := range f.vms {
		f.awaitConfig(name)
	}
	return f
}

func (f *fleet) awaitConfig(name string) {
	f.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for f.configVersion(name) != f.conf.Version {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s has no configuration; its log:\n%s", name, f.vms[name].daemon.logs)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) configVersion(name string) uint64 {
	resp, err := f.client.Get("http://" + f.vms[name].daemonSettings.Listeners.Operator + "/healthz")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var health struct {
		ConfigVersion uint64 `json:"config_version"`
	}
	if json.NewDecoder(resp.Body).Decode(&health) != nil {
		return 0
	}
	return health.ConfigVersion
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processorTime returns the user and system time that the process has used.
func (p *process) processorTime(t *testing.T) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields after the command's closing bracket start with the third one.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	ticks := 0
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// memory is the memory use of a process from /proc/PID/status, in kB.
type memory struct{ resident, anonymous, file, peak int }

func (m memory) String() string {
	return fmt.Sprintf("resident %.1f MB (anonymous %.1f, file %.1f, peak %.1f)", mb(m.resident), mb(m.anonymous), mb(m.file), mb(m.peak))
}

func mb(kb int) float64 { return float64(kb) / 1024 }

func (p *process) memory(t *testing.T) memory {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var m memory
	for line := range strings.Lines(string(data)) {
		values := map[string]*int{"VmRSS:": &m.resident, "RssAnon:": &m.anonymous, "RssFile:": &m.file, "VmHWM:": &m.peak}
		if fields := strings.Fields(line); len(fields) > 1 && values[fields[0]] != nil {
			*values[fields[0]], _ = strconv.Atoi(fields[1])
		}
	}
	return m
}

// median returns the middle value; the list is sorted in place.
func median[T int | int64 | float64 | time.Duration](list []T) T {
	slices.Sort(list)
	return list[len(list)/2]
}
