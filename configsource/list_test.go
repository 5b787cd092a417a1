package configsource

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against reading the whole list again when it has not changed, against a
// stale list after a change, and against taking 304 for an empty fleet.
func TestUnchangedList(t *testing.T) {
	Convey("Given a list with an entity tag", t, func() {
		version, whole := "\"1\"", 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", version)
			if r.Header.Get("If-None-Match") == version {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			whole++
			_, _ = w.Write([]byte(`[{"name": "v` + version[1:2] + `", "state": "live"}]`))
		}))
		defer server.Close()
		list := NewHTTPVMList(server.URL, nil, 0)
		fetch := func() string {
			records, err := list.Fetch(context.Background())
			So(err, ShouldBeNil)
			So(records, ShouldHaveLength, 1)
			return records[0].Name
		}
		So(fetch(), ShouldEqual, "v1")
		So(fetch(), ShouldEqual, "v1")
		So(whole, ShouldEqual, 1)
		version = "\"2\""
		So(fetch(), ShouldEqual, "v2")
		So(fetch(), ShouldEqual, "v2")
		So(whole, ShouldEqual, 2)
		So(list.Counts().Reads, ShouldEqual, 4)
	})
}
