package chart

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an embedded chart with a defect, which would make the daemon panic
// at start.
func TestEmbeddedChartsLoad(t *testing.T) {
	Convey("Every embedded chart passes the checks", t, func() {
		for _, name := range []string{"upstream", "daemon", "request", "configuration"} {
			c, err := Load(name)
			So(err, ShouldBeNil)
			So(c.Name(), ShouldEqual, name)
		}
	})
}

// Guards against accepting a chart with a missing transition, which would only fail
// under load.
func TestDefectiveChartsAreRefused(t *testing.T) {
	cases := map[string]string{
		"does not handle event": `{"name":"x","initial":"a","events":["e","f"],"states":{"a":{"on":{"e":"ignore"}}}}`,
		"is not defined":        `{"name":"x","initial":"a","events":["e"],"states":{"a":{"on":{"e":"b"}}}}`,
		"cannot be reached":     `{"name":"x","initial":"a","events":["e"],"states":{"a":{"on":{"e":"ignore"}},"b":{"on":{"e":"a"}}}}`,
		"which is not listed":   `{"name":"x","initial":"a","events":["e"],"states":{"a":{"on":{"e":"ignore","g":"ignore"}}}}`,
		"has transitions":       `{"name":"x","initial":"a","events":["e"],"final":["b"],"states":{"a":{"on":{"e":"b"}},"b":{"on":{"e":"a"}}}}`,
	}
	Convey("A defective chart is an error that names the defect", t, func() {
		for want, text := range cases {
			_, err := Parse([]byte(text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
}

// Guards against leaving a final state, which would answer a call twice.
func TestFinalStatesStay(t *testing.T) {
	Convey("A machine in a final state ignores all events", t, func() {
		m := MustLoad("request").NewMachine()
		So(m.Fire("refuse"), ShouldBeTrue)
		So(m.Final(), ShouldBeTrue)
		So(m.Fire("finish"), ShouldBeFalse)
		So(m.State(), ShouldEqual, State("refused"))
	})
	Convey("An event that the chart does not list panics", t, func() {
		m := MustLoad("daemon").NewMachine()
		So(func() { m.Fire("finish") }, ShouldPanic)
	})
}
