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

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/examples"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	// The binary is built from internal/cli. The import makes the cached result of
	// these tests invalid when that package changes.
	_ "github.com/hawthornpoint/hawthornpoint/internal/cli"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// upstreamsPerService replaces the number of upstreams in the bundled deployment, to
// keep the number of processes small.
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

// process is a child process of the test.
type process struct {
	cmd  *exec.Cmd
	logs *bytes.Buffer
	done chan error
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	logs := new(bytes.Buffer)
	p := startProcessWith(t, logs, args...)
	p.logs = logs
	return p
}

// startProcessWith starts a process that writes its output to w.
func startProcessWith(t *testing.T, w io.Writer, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), done: make(chan error, 1)}
	p.cmd.Stdout, p.cmd.Stderr = w, w
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

// wait returns the exit error of the process, nil for exit code 0. It fails the test
// after limit.
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

// vm is one VM: an upstream's daemon and backend server.
type vm struct {
	daemonSettings  settings.Settings
	daemon, backend *process
	settingsFile    string
}

// fleet is a deployment whose platform, daemons and backend servers are separate
// processes.
type fleet struct {
	t        *testing.T
	dir      string
	conf     *config.Config
	platform *process
	vms      map[string]*vm
	client   *http.Client
}

// newFleet starts the Quito deployment with upstreamsPerService upstreams for each
// service, and waits until reads are answered through every daemon.
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
		t: t, dir: t.TempDir(), conf: conf, vms: make(map[string]*vm),
		client: &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second},
	}
	platformURL := "http://" + freeAddress(t)
	var records []membership.Record
	for _, s := range conf.Services {
		for _, u := range s.Upstreams {
			v := f.newVM(s.Name, u, platformURL)
			f.vms[u.Name] = v
			records = append(records, membership.Record{
				Name: u.Name, Service: s.Name, State: membership.Live, Zone: u.Zone, Region: u.Region,
				PeerAddress: v.daemonSettings.Listeners.Peers, ControlAddress: v.daemonSettings.Listeners.Control,
			})
		}
	}
	f.startPlatform(platformURL, records)
	for name := range f.vms {
		f.startBackend(name)
		f.startDaemon(name)
	}
	for name := range f.vms {
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

func (f *fleet) newVM(service string, u config.Upstream, platformURL string) *vm {
	daemonSettings := *settings.Default()
	daemonSettings.Name, daemonSettings.Service, daemonSettings.Zone, daemonSettings.Region = u.Name, service, u.Zone, u.Region
	daemonSettings.ClockSkewMS = 1 // one machine has one clock
	daemonSettings.Platform = settings.Platform{ConfigURL: platformURL + "/v1/config", VMsURL: platformURL + "/v1/vms"}
	l := &daemonSettings.Listeners
	for _, address := range []*string{&l.Callers, &l.Peers, &l.Egress, &l.Control, &l.Operator, &daemonSettings.Backend} {
		*address = freeAddress(f.t)
	}
	return &vm{daemonSettings: daemonSettings, settingsFile: f.write(u.Name+".json", daemonSettings)}
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
	f.platform = startProcess(f.t, "stand-in", "platform", f.write("platform.json", options))
}

func (f *fleet) startBackend(name string) {
	v := f.vms[name]
	options := standin.BackendOptions{
		Address: v.daemonSettings.Backend, Config: f.conf, Service: v.daemonSettings.Service, Slots: 40, QueueLimit: 40,
		DefaultTime: standin.ServiceTime{Mean: 5 * time.Millisecond},
		Egress:      "http://" + v.daemonSettings.Listeners.Egress,
	}
	v.backend = startProcess(f.t, "stand-in", "backend", f.write(name+"-backend.json", options))
}

func (f *fleet) startDaemon(name string) {
	v := f.vms[name]
	v.daemon = startProcess(f.t, "daemon", "--settings", v.settingsFile)
}

// awaitServing waits until every kind of read is answered through the daemon.
func (f *fleet) awaitServing(name string) {
	f.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for _, s := range f.conf.Services {
		for _, k := range s.Kinds {
			if !k.Idempotent {
				continue
			}
			for !f.readAnswered(name, s.Name, k) {
				if time.Now().After(deadline) {
					f.t.Fatalf("%s does not answer %s/%s; its log:\n%s\nplatform:\n%s", name, s.Name, k.Name, f.vms[name].daemon.logs, f.platform.logs)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func (f *fleet) readAnswered(entry, service string, k config.Kind) bool {
	a, err := f.send(context.Background(), entry, service, k.Name, "", nil)
	return err == nil && a.status == http.StatusOK
}

// answer is the response to a caller.
type answer struct {
	status int
	reply  callmeta.Reply
	body   []byte
}

// send sends one request, with a key if it is not empty, through the daemon of the
// named VM.
func (f *fleet) send(ctx context.Context, entry, service, kind, key string, body []byte) (answer, error) {
	return f.sendWith(ctx, entry, service, kind, callmeta.HeaderKey, key, body)
}

// token returns a new token of the service from the daemon of the named VM.
func (f *fleet) token(entry, service string) string {
	f.t.Helper()
	resp, err := f.client.Post("http://"+f.vms[entry].daemonSettings.Listeners.Callers+"/-/tokens/"+service, "", nil)
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

// sendWith is like send, with the name and the value of the header that identifies
// the request.
func (f *fleet) sendWith(ctx context.Context, entry, service, kind, header, id string, body []byte) (answer, error) {
	k := f.conf.Service(service).Kind(kind)
	url := "http://" + f.vms[entry].daemonSettings.Listeners.Callers + standin.Path(service, *k, body)
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
	reply, err := callmeta.DecodeReply(resp.Header)
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

// runsOf returns how often the backend servers of a service ran requests with the key.
func (f *fleet) runsOf(service, key string) int {
	f.t.Helper()
	runs := 0
	for i := range upstreamsPerService {
		resp, err := f.client.Get("http://" + f.vms[f.upstream(service, i)].daemonSettings.Backend + "/counts")
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
