package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/examples"
	// The binary is built from this package; the import makes the test cache notice
	// when it changes.
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	_ "github.com/hawthornpoint/hawthornpoint/internal/cli"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// upstreamsPerService keeps the number of processes small.
const upstreamsPerService = 2

// binary is built once for all tests of the package.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hawthornpoint-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "hawthornpoint")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/hawthornpoint")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one child of the test.
type process struct {
	cmd  *exec.Cmd
	logs *bytes.Buffer
	done chan error
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), logs: new(bytes.Buffer), done: make(chan error, 1)}
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wait returns how the process ended.
func (p *process) wait(t *testing.T, limit time.Duration) error {
	t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(limit):
		t.Fatalf("process %d did not end within %v", p.cmd.Process.Pid, limit)
		return nil
	}
}

// place is one upstream: its daemon and its backend server.
type place struct {
	set             settings.Settings
	daemon, backend *process
	settingsFile    string
}

// fleet is a deployment of separate processes.
type fleet struct {
	t        *testing.T
	dir      string
	conf     *config.Config
	platform *process
	places   map[string]*place
	client   *http.Client
}

// newFleet starts the Quito deployment with fewer upstreams and waits until a
// read is answered through every daemon.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	conf, err := examples.Load("quito")
	if err != nil {
		t.Fatal(err)
	}
	for i := range conf.Services {
		conf.Services[i].Upstreams = conf.Services[i].Upstreams[:upstreamsPerService]
	}
	f := &fleet{
		t: t, dir: t.TempDir(), conf: conf, places: make(map[string]*place),
		client: &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second},
	}
	platformURL := "http://" + freeAddress(t)
	var records []membership.Record
	for _, s := range conf.Services {
		for _, u := range s.Upstreams {
			p := f.newPlace(s.Name, u, platformURL)
			f.places[u.Name] = p
			records = append(records, membership.Record{
				Name: u.Name, Service: s.Name, State: membership.Live, Zone: u.Zone, Region: u.Region,
				PeerAddress: p.set.Listeners.Peers, ControlAddress: p.set.Listeners.Control,
			})
		}
	}
	f.startPlatform(platformURL, records)
	for name := range f.places {
		f.startBackend(name)
		f.startDaemon(name)
	}
	for name := range f.places {
		f.awaitServing(name)
	}
	return f
}

// Ports are taken from below the range of ephemeral ports, so that no outgoing
// connection occupies one before its process listens.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + os.Getpid()%1000*10

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for nextPort < lastPort {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

func (f *fleet) newPlace(service string, u config.Upstream, platformURL string) *place {
	set := *settings.Default()
	set.Name, set.Service, set.Zone, set.Region = u.Name, service, u.Zone, u.Region
	set.ClockSkewMS = 1 // one machine has one clock
	set.Platform = settings.Platform{ConfigURL: platformURL + "/v1/config", VMsURL: platformURL + "/v1/vms"}
	l := &set.Listeners
	for _, address := range []*string{&l.Callers, &l.Peers, &l.Egress, &l.Control, &l.Operator, &set.Backend} {
		*address = freeAddress(f.t)
	}
	return &place{set: set, settingsFile: f.write(u.Name+".json", set)}
}

func (f *fleet) write(name string, v any) string {
	f.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.dir, name)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

func (f *fleet) startPlatform(url string, records []membership.Record) {
	envelope, err := config.Seal(f.conf)
	if err != nil {
		f.t.Fatal(err)
	}
	options := standin.PlatformOptions{Address: url[len("http://"):], Envelope: envelope, VMs: records}
	f.platform = start(f.t, "stand-in", "platform", f.write("platform.json", options))
}

func (f *fleet) startBackend(name string) {
	p := f.places[name]
	options := standin.BackendOptions{
		Address: p.set.Backend, Config: f.conf, Service: p.set.Service, Slots: 40, QueueLimit: 40,
		DefaultTime: standin.ServiceTime{Mean: 5 * time.Millisecond},
		Egress:      "http://" + p.set.Listeners.Egress,
	}
	p.backend = start(f.t, "stand-in", "backend", f.write(name+"-backend.json", options))
}

func (f *fleet) startDaemon(name string) {
	p := f.places[name]
	p.daemon = start(f.t, "daemon", "--settings", p.settingsFile)
}

// awaitServing waits until a read of every service is answered through the daemon.
func (f *fleet) awaitServing(name string) {
	f.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for _, s := range f.conf.Services {
		for _, k := range s.Kinds {
			if !k.Idempotent {
				continue
			}
			for !f.answered(name, s.Name, k) {
				if time.Now().After(deadline) {
					f.t.Fatalf("%s does not answer %s/%s; its log:\n%s\nplatform:\n%s", name, s.Name, k.Name, f.places[name].daemon.logs, f.platform.logs)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func (f *fleet) answered(entry, service string, k config.Kind) bool {
	a, err := f.send(context.Background(), entry, service, k.Name, "", nil)
	return err == nil && a.status == http.StatusOK
}

// answer is what a caller gets.
type answer struct {
	status int
	reply  call.Reply
	body   []byte
}

// send sends one request, with a key if it is not empty, through the daemon of the
// named place.
func (f *fleet) send(ctx context.Context, entry, service, kind, key string, body []byte) (answer, error) {
	return f.sendWith(ctx, entry, service, kind, call.HeaderKey, key, body)
}

// token returns a new token of the service from the daemon of the named place.
func (f *fleet) token(entry, service string) string {
	f.t.Helper()
	resp, err := f.client.Post("http://"+f.places[entry].set.Listeners.Callers+"/-/tokens/"+service, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Fatalf("token: status %d, %s, %v", resp.StatusCode, text, err)
	}
	return string(text)
}

// sendWith is like send and names the header that identifies the request.
func (f *fleet) sendWith(ctx context.Context, entry, service, kind, header, id string, body []byte) (answer, error) {
	k := f.conf.Service(service).Kind(kind)
	url := "http://" + f.places[entry].set.Listeners.Callers + standin.Path(service, *k, body)
	var reader io.Reader
	if k.Method != http.MethodGet {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, url, reader)
	if err != nil {
		return answer{}, err
	}
	req.GetBody = nil
	if id != "" {
		req.Header.Set(header, id)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	reply, err := call.DecodeReply(resp.Header)
	return answer{status: resp.StatusCode, reply: reply, body: data}, err
}

func (f *fleet) expected(service, kind string, body []byte) string {
	return string(standin.Expected(f.conf, service, kind, body))
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// upstream returns the name of the i-th upstream of a service.
func (f *fleet) upstream(service string, i int) string {
	return f.conf.Service(service).Upstreams[i].Name
}

// runsOf returns how often the backend servers of a service ran a key.
func (f *fleet) runsOf(service, key string) int {
	f.t.Helper()
	runs := 0
	for i := range upstreamsPerService {
		resp, err := f.client.Get("http://" + f.places[f.upstream(service, i)].set.Backend + "/counts")
		if err != nil {
			f.t.Fatal(err)
		}
		var counts standin.Counts
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		runs += counts.ByKey[key]
	}
	return runs
}
