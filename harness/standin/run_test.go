package standin

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against stand-in processes that do not serve or do not stop.
func TestRun(t *testing.T) {
	Convey("Both stand-ins serve until their context ends", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		runs := map[string]func(context.Context) error{
			"/healthz": func(ctx context.Context) error {
				return RunBackend(ctx, BackendOptions{Address: address, Config: testConfig(), Service: "stock"}, time.Second)
			},
			"/v1/vms": func(ctx context.Context) error { return RunPlatform(ctx, PlatformOptions{Address: address}) },
		}
		for path, run := range runs {
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- run(ctx) }()
			So(eventually(func() bool {
				s, _, _, err := do(ctx, "GET", "http://"+address+path, "", nil)
				return err == nil && s == 200
			}), ShouldBeTrue)
			cancel()
			So(<-ended, ShouldBeNil)
		}
	})
}
