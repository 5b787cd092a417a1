package config

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a non-idempotent kind that runs twice because an idempotent kind
// that calls it is retried.
func TestIdempotentKindMayNotCallNonIdempotent(t *testing.T) {
	Convey("An idempotent kind that calls a non-idempotent one is a problem", t, func() {
		up := []Upstream{{Name: "s-a", Zone: "z", Region: "r", Slots: 1, Connections: 1}}
		write := Kind{Name: "write", Method: "POST", Path: "/w", Rank: 0, PatienceMS: 1000}
		read := Kind{Name: "read", Method: "GET", Path: "/r", Rank: 5, Idempotent: true, PatienceMS: 1000,
			Calls: []Target{{Service: "s", Kind: "write"}}}
		problems := Check(&Config{Version: 1, Services: []Service{{Name: "s", Upstreams: up, Kinds: []Kind{write, read}}}})
		So(problems, ShouldHaveLength, 1)
		So(problems[0].Field, ShouldEqual, "services[0].kinds[1].calls[0]")
		So(problems[0].Message, ShouldContainSubstring, "a retry would run it again")
	})
}
