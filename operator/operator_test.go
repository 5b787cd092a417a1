package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against counters that are missing until their first increment, are shared
// between daemons of one process, or panic when they are published twice.
func TestCounters(t *testing.T) {
	Convey("Given two sets of counters in one process", t, func() {
		a, b := NewCounters(), NewCounters()
		Convey("they are independent", func() {
			a.Result(resultcode.Shed)
			a.Retry(retry.RetryLeaving)
			a.Event(EventPaused)
			So(a.ResultCount(resultcode.Shed)+a.RetryCount(retry.RetryLeaving)+a.EventCount(EventPaused), ShouldEqual, 3)
			So(b.ResultCount(resultcode.Shed)+b.RetryCount(retry.RetryLeaving)+b.EventCount(EventPaused), ShouldEqual, 0)
			So(a.ResultCount(resultcode.Code(999)), ShouldEqual, 0)
		})
		Convey("every counter exists from the start", func() {
			var got map[string]map[string]int64
			So(json.Unmarshal([]byte(a.Var().String()), &got), ShouldBeNil)
			So(got["results"], ShouldHaveLength, len(resultcode.All()))
			So(got["retries"], ShouldHaveLength, len(retry.Reasons()))
			So(got["events"], ShouldHaveLength, len(Events()))
		})
		Convey("both can be published under one name", func() {
			So(func() { a.Publish("test-daemon"); b.Publish("test-daemon") }, ShouldNotPanic)
		})
	})
}

// Guards against a daemon that reports itself healthy in a state other than serving,
// and against pages that are not valid JSON.
func TestPages(t *testing.T) {
	Convey("Given the pages of a daemon", t, func() {
		state := "starting"
		counters := NewCounters()
		handler, err := NewHandler(Pages{
			Health:    func() Health { return Health{State: state, ConfigVersion: 3} },
			Upstreams: func() any { return map[string]string{"stock-1": "healthy"} },
			Counters:  counters,
		})
		So(err, ShouldBeNil)
		get := func(path string) (int, string) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			return w.Code, w.Body.String()
		}
		Convey("/healthz answers 200 only in state serving", func() {
			for _, s := range []string{"starting", "leaving", "stopped"} {
				state = s
				status, body := get("/healthz")
				So(status, ShouldEqual, 503)
				So(body, ShouldContainSubstring, s)
			}
			state = "serving"
			status, body := get("/healthz")
			So(status, ShouldEqual, 200)
			So(strings.TrimSpace(body), ShouldEqual, `{"state":"serving","config_version":3}`)
		})
		Convey("/upstreams and /debug/vars are JSON, other paths are not found", func() {
			_, body := get("/upstreams")
			So(strings.TrimSpace(body), ShouldEqual, `{"stock-1":"healthy"}`)
			counters.Event(EventPush)
			_, body = get("/debug/vars")
			var vars map[string]any
			So(json.Unmarshal([]byte(body), &vars), ShouldBeNil)
			So(vars["hawthornpoint"].(map[string]any)["events"].(map[string]any)["push"], ShouldEqual, 1)
			So(vars, ShouldContainKey, "memstats")
			status, _ := get("/elsewhere")
			So(status, ShouldEqual, 404)
		})
	})
}

// Guards against counters that docs/operators-events.md does not describe.
func TestEventsAreDocumented(t *testing.T) {
	Convey("Every retry reason and event has a row in docs/operators-events.md", t, func() {
		page, err := os.ReadFile("../docs/operators-events.md")
		So(err, ShouldBeNil)
		for _, r := range retry.Reasons() {
			So(string(page), ShouldContainSubstring, "| `"+r.String()+"` |")
		}
		for _, e := range Events() {
			So(string(page), ShouldContainSubstring, "| `"+string(e)+"` |")
		}
	})
}
