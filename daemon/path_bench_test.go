package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/daemon"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// fixedPlatform holds a configuration and a VM list that never change.
type fixedPlatform struct {
	envelope config.Envelope
	records  []membership.Record
}

type fixedConfigs struct{ *fixedPlatform }

func (p fixedConfigs) Fetch(_ context.Context, newerThan uint64) (config.Envelope, bool, error) {
	return p.envelope, newerThan < p.envelope.Version, nil
}

type fixedVMs struct{ *fixedPlatform }

func (p fixedVMs) Fetch(context.Context) ([]membership.Record, error) { return p.records, nil }

// lastHost numbers the loopback addresses of this process, one for each daemon. Ports that are free on an address that others use
// may be taken before the daemon listens.
var lastHost atomic.Int32

func benchSettings(service, backend string) settings.Settings {
	set := *settings.Default()
	set.Name, set.Service, set.Zone, set.Region, set.Backend = service+"-a", service, "z1", "r1", backend
	set.ClockSkewMS = 1
	host := int(lastHost.Add(1))
	l := &set.Listeners
	for role, a := range []*string{&l.Callers, &l.Peers, &l.Egress, &l.Control, &l.Operator} {
		*a = fmt.Sprintf("127.230.%d.%d:%d", 1+os.Getpid()%250, 1+host%250, 27100+10*(host/250)+role)
	}
	return set
}

// benchPair starts the daemons of an order and of a stock upstream and returns the
// URL of the stock service at the order daemon.
func benchPair(b *testing.B) string {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "17 m of cloth\n")
	}))
	b.Cleanup(backend.Close)
	return "http://" + startPair(b, backend.Listener.Addr().String(), nil) + "/stock"
}

// startPair starts the daemons of an order and of a stock upstream with the backend server at an address, and returns the
// address of the order daemon for callers. network may be nil.
func startPair(b testing.TB, backend string, network daemon.Network) string {
	return startDaemons(b, backend, network, "")[0].Addr("callers")
}

// startDaemons starts the daemons of startPair and returns them, that of the order upstream first. If a peer address is given, it
// takes the place of the stock daemon.
func startDaemons(b testing.TB, backend string, network daemon.Network, peer string) (daemons []*daemon.Daemon) {
	platform := new(fixedPlatform)
	conf := &config.Config{Version: 1}
	var allSettings []settings.Settings
	for _, service := range []string{"order", "stock"} {
		set := benchSettings(service, backend)
		if service == "stock" && peer != "" {
			set.Listeners.Peers = peer
		}
		allSettings = append(allSettings, set)
		platform.records = append(platform.records, membership.Record{Name: set.Name, Service: service, State: membership.Live,
			PeerAddress: set.Listeners.Peers, ControlAddress: set.Listeners.Control, Zone: "z1", Region: "r1"})
		conf.Services = append(conf.Services, config.Service{Name: service,
			Upstreams: []config.Upstream{{Name: set.Name, Zone: "z1", Region: "r1", Slots: 140, Connections: 900}},
			Kinds: []config.Kind{
				{Name: "check", Method: "GET", Path: "/check", Rank: 6, Idempotent: true, PatienceMS: 5000, Retries: 2},
				{Name: "take", Method: "POST", Path: "/take", PatienceMS: 5000, Retries: 2},
			}})
	}
	var err error
	if platform.envelope, err = config.Seal(conf); err != nil {
		b.Fatal(err)
	}
	for _, set := range allSettings {
		if set.Listeners.Peers == peer {
			continue
		}
		d := daemon.New(daemon.Options{Settings: set, Network: network, Configs: fixedConfigs{platform}, VMs: fixedVMs{platform}})
		if err := d.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(d.Close)
		daemons = append(daemons, d)
		for d.ConfigVersion() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(50 * time.Millisecond) // keys created less than twice the clock skew after the start are refused
	return daemons
}

func benchPath(b *testing.B, send func(*http.Client, string) (*http.Response, error)) {
	url := benchPair(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	for b.Loop() {
		resp, err := send(client, url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Header.Get(callmeta.HeaderResult))
		}
	}
}

// BenchmarkPathRead measures one read through two daemons, including the client and the
// backend server.
func BenchmarkPathRead(b *testing.B) {
	benchPath(b, func(c *http.Client, url string) (*http.Response, error) { return c.Get(url + "/check") })
}

// BenchmarkPathKeyed measures one non-idempotent call with an idempotency key and a body
// of 200 bytes, on the same path.
func BenchmarkPathKeyed(b *testing.B) {
	body := strings.Repeat("x", 200)
	benchPath(b, func(c *http.Client, url string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, url+"/take", strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set(callmeta.HeaderKey, newKey())
		return c.Do(req)
	})
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
