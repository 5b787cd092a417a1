package configsource

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against transferring an unchanged list again, against a stale list after a
// change, and against taking status 304 for an empty fleet.
func TestUnchangedList(t *testing.T) {
	Convey("An unchanged list is returned from memory, a changed list is read", t, func() {
		currentTag, fullReads := "\"1\"", 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", currentTag)
			if r.Header.Get("If-None-Match") == currentTag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			fullReads++
			_, _ = w.Write([]byte(`[{"name": "v` + currentTag[1:2] + `", "state": "live"}]`))
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
		So(fullReads, ShouldEqual, 1)
		currentTag = "\"2\""
		So(fetch(), ShouldEqual, "v2")
		So(fetch(), ShouldEqual, "v2")
		So(fullReads, ShouldEqual, 2)
		So(list.Counts().Reads, ShouldEqual, 4)
	})
}
