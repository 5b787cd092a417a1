package quarantine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against counting one crash twice, and against a crash before the backend server was ever up.
func TestCrashCountsOnce(t *testing.T) {
	Convey("Only the first refused connection after an accepted one is a crash", t, func() {
		var l Liveness
		So(l.ConnectionRefused(), ShouldBeFalse)
		l.ConnectionAccepted()
		So(l.Accepting(), ShouldBeTrue)
		So(l.ConnectionRefused(), ShouldBeTrue)
		So(l.Accepting(), ShouldBeFalse)
		So(l.ConnectionRefused(), ShouldBeFalse)
		l.ConnectionAccepted()
		So(l.ConnectionRefused(), ShouldBeTrue)
	})
}
