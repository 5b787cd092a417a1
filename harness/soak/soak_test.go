package soak

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	// The binary is built from internal/cli. The import makes the cached result of
	// this test invalid when a package of the daemon changes.
	_ "github.com/hawthornpoint/hawthornpoint/mesh"
	_ "github.com/hawthornpoint/hawthornpoint/platform"
)

// Planned work and faults of backend servers; long runs with all faults are played with "hawthornpoint soak".
func TestSoakBreaksNoPromise(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hawthornpoint")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/hawthornpoint").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dir, err := os.MkdirTemp("", "hawthornpoint-soak")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Play(context.Background(), Options{Binary: binary, Seed: 1, Duration: 12 * time.Second, VMs: 8, Callers: 160, Rate: 150, Slots: 16,
		Planned: true, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	_ = report.WriteText(&text)
	t.Log(text.String())
	if !report.OK() {
		t.Fatalf("a promise was broken; logs are in %s", dir)
	}
	if report.Requests["200"] < 500 || report.Events[Terminate] < 10 {
		t.Error("too few requests were answered, or too few stops played")
	}
	_ = os.RemoveAll(dir)
}
