package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/examples"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// fakeConfigSource is a configuration service that answers after a delay, with an error
// if it has no envelope.
type fakeConfigSource struct {
	delay    time.Duration
	envelope *config.Envelope
}

func (s fakeConfigSource) Fetch(ctx context.Context, newerThan uint64) (config.Envelope, bool, error) {
	time.Sleep(s.delay)
	if s.envelope == nil {
		return config.Envelope{}, false, errors.New("down")
	}
	return *s.envelope, newerThan < s.envelope.Version, nil
}

type fixedVMList []membership.Record

func (l fixedVMList) Fetch(context.Context) ([]membership.Record, error) { return l, nil }

// startDaemon starts a daemon whose listeners use the loopback addresses 127.0.subnet.1
// to 127.0.subnet.5.
func startDaemon(t *testing.T, name, subnet string, configs fakeConfigSource, vms fixedVMList) *Daemon {
	set := *settings.Default()
	set.Name, set.Service, set.Zone, set.Region, set.Backend = name, "stock", "a", "r", "127.0.0.1:1"
	l := &set.Listeners
	l.Callers, l.Peers, l.Egress = "127.0."+subnet+".1:0", "127.0."+subnet+".2:0", "127.0."+subnet+".3:0"
	l.Operator, l.Control = "127.0."+subnet+".4:0", "127.0."+subnet+".5:27103"
	d := New(Options{Settings: set, Configs: configs, VMs: vms, PanicOnViolation: true})
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a starting daemon that refuses calls because its configuration arrives
// only a moment later, and against goroutines that outlive Close.
func TestStart(t *testing.T) {
	conf, err := examples.Load("quito")
	if err != nil {
		t.Fatal(err)
	}
	conf.Version = 7
	envelope, err := config.Seal(conf)
	if err != nil {
		t.Fatal(err)
	}
	Convey("With its configuration service down, a daemon fetches the configuration from a peer before it answers", t, func() {
		defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
		record := membership.Record{Name: "stock-x", Service: "stock", State: membership.Live, PeerAddress: "127.0.71.2:1", ControlAddress: "127.0.71.5:27103"}
		peer := startDaemon(t, "stock-x", "71", fakeConfigSource{envelope: &envelope, delay: 300 * time.Millisecond}, nil)
		d := startDaemon(t, "stock-y", "72", fakeConfigSource{}, fixedVMList{record})
		transport := &http.Transport{}
		resp, err := (&http.Client{Transport: transport}).Get("http://" + d.Addr("callers") + "/no-such-service/")
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(d.ConfigVersion(), ShouldEqual, 7)
		transport.CloseIdleConnections()
		d.Close()
		peer.Close()
	})
}
