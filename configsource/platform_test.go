package configsource

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

var (
	_ ConfigSource = (*HTTPConfigSource)(nil)
	_ VMList       = (*HTTPVMList)(nil)
)

func envelope(version uint64) config.Envelope {
	return config.Envelope{Version: version, Checksum: "0123456789abcdef", Body: json.RawMessage(`{"version":1}`)}
}

// Paths of the stand-in platform.
const (
	configPath = "/v1/config"
	vmsPath    = "/v1/vms"
)

// Guards against clients that decode answers wrongly, wait without bound, or take a
// fault for an answer.
func TestClients(t *testing.T) {
	Convey("Given the platform", t, func() {
		platform := standin.NewPlatform(0)
		server := httptest.NewServer(platform)
		Reset(server.Close)
		source := NewHTTPConfigSource(server.URL+configPath, nil, 200*time.Millisecond)
		list := NewHTTPVMList(server.URL+vmsPath, nil, 200*time.Millisecond)
		ctx := context.Background()

		Convey("versions and lists are read", func() {
			_, found, err := source.Fetch(ctx, 0)
			So(err, ShouldBeNil)
			So(found, ShouldBeFalse)
			platform.Publish(envelope(4))
			platform.Publish(envelope(3))
			e, found, err := source.Fetch(ctx, 3)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(e, ShouldResemble, envelope(4))
			_, found, err = source.Fetch(ctx, 4)
			So(err, ShouldBeNil)
			So(found, ShouldBeFalse)
			platform.SetVMs([]membership.Record{{Name: "a", Incarnation: uuid.New(), State: membership.Live}})
			records, err := list.Fetch(ctx)
			So(err, ShouldBeNil)
			So(records, ShouldHaveLength, 1)
			So(source.Counts(), ShouldResemble, Counts{Reads: 3})
			So(platform.Reads(), ShouldResemble, standin.Reads{Config: 3, VMs: 1})
		})
		Convey("every fault is returned as an error and counted", func() {
			platform.Publish(envelope(4))
			faults := []standin.PlatformFaults{{Down: true}, {Garbage: true}, {Delay: time.Second}}
			for _, fault := range faults {
				platform.SetFaults(fault)
				_, _, err := source.Fetch(ctx, 0)
				So(err, ShouldNotBeNil)
				_, err = list.Fetch(ctx)
				So(err, ShouldNotBeNil)
			}
			So(source.Counts(), ShouldResemble, Counts{Reads: 3, Failed: 3})
			So(platform.Reads(), ShouldResemble, standin.Reads{Config: 3, VMs: 3})
		})
		Convey("a stale configuration service and a lagging VM list return earlier states", func() {
			platform.Publish(envelope(1))
			platform.Publish(envelope(2))
			platform.SetVMs([]membership.Record{{Name: "a"}})
			time.Sleep(30 * time.Millisecond)
			platform.SetVMs([]membership.Record{{Name: "b"}})
			platform.SetFaults(standin.PlatformFaults{StaleVersion: 1, IgnoreNewerThan: true, ListLag: 25 * time.Millisecond})
			e, found, err := source.Fetch(ctx, 2)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(e.Version, ShouldEqual, 1)
			records, err := list.Fetch(ctx)
			So(err, ShouldBeNil)
			So(records[0].Name, ShouldEqual, "a")
		})
	})
	Convey("Reads above the rate are refused", t, func() {
		platform := standin.NewPlatform(3)
		server := httptest.NewServer(platform)
		Reset(server.Close)
		source := NewHTTPConfigSource(server.URL+configPath, nil, 0)
		failed := 0
		for range 10 {
			if _, _, err := source.Fetch(context.Background(), 0); err != nil {
				So(err.Error(), ShouldContainSubstring, "429")
				failed++
			}
		}
		So(failed, ShouldBeGreaterThanOrEqualTo, 6)
		So(platform.Reads().Refused, ShouldEqual, failed)
	})
}

// Guards against a server that redirects the daemon to another server, exhausts its
// memory, or causes it to take a missing list for an empty fleet.
func TestHostileAnswers(t *testing.T) {
	Convey("Redirects, oversized bodies and missing lists are errors", t, func() {
		var reads int
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			reads++
			switch {
			case r.URL.Path == configPath && r.URL.Query().Get("newer_than") == "1":
				http.Redirect(w, r, "/elsewhere", http.StatusFound)
			case r.URL.Path == configPath:
				_, _ = w.Write([]byte(`{"version":2,"body":"` + strings.Repeat("x", MaxConfigBytes+envelopeOverheadBytes) + `"}`))
			default:
				_, _ = w.Write([]byte("null"))
			}
		}))
		Reset(server.Close)
		source := NewHTTPConfigSource(server.URL+configPath, nil, 0)
		_, _, err := source.Fetch(context.Background(), 1)
		So(err.Error(), ShouldContainSubstring, "302")
		So(reads, ShouldEqual, 1)
		_, _, err = source.Fetch(context.Background(), 0)
		So(err.Error(), ShouldContainSubstring, "exceeds")
		_, err = NewHTTPVMList(server.URL+vmsPath, nil, 0).Fetch(context.Background())
		So(err.Error(), ShouldContainSubstring, "no list")
	})
}

// Guards against a fleet whose reads overload the configuration service, and against a
// daemon that reads too late after an outage.
func TestSchedule(t *testing.T) {
	Convey("The rate of the fleet stays within its bound at any size and does not rise with errors", t, func() {
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		down := errors.New("down")
		for _, n := range []int{1, 12, 720, 7200} {
			schedule := NewSchedule(rand.New(rand.NewPCG(1, uint64(n))))
			var total time.Duration
			for range 2000 {
				interval := schedule.Next(now, n, nil).Sub(now)
				So(interval, ShouldBeGreaterThanOrEqualTo, MinInterval)
				total += interval
			}
			rate := float64(n) * 2000 / total.Seconds()
			So(rate, ShouldBeLessThanOrEqualTo, FleetReadsPerSecond*1.02)
			for range 10 {
				interval := schedule.Next(now, n, down).Sub(now)
				So(interval, ShouldBeLessThanOrEqualTo, time.Duration(4.8*float64(Interval(n))))
			}
			So(schedule.Next(now, n, down).Sub(now), ShouldBeGreaterThan, 3*Interval(n))
			So(schedule.Next(now, n, nil).Sub(now), ShouldBeLessThanOrEqualTo, Interval(n)*6/5)
		}
	})
}
