package trial

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/daemon"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// vm is one VM: an upstream's daemon and backend server.
type vm struct {
	service string
	conf    config.Upstream
	backend *standin.Backend
	daemon  *daemon.Daemon
	address string // of the backend server
	left    bool   // callers do not use its daemon as their entry daemon
}

// fleet is a deployment with all its VMs in this process.
type fleet struct {
	conf     *config.Config
	platform *standin.Platform
	server   *http.Server
	vms      []*vm
	network  *loopback
}

// loopback is a daemon.Network whose listeners were opened beforehand, so that
// all addresses are known before the first daemon starts.
type loopback struct {
	net.Dialer
	reserved map[string]net.Listener
}

func (l *loopback) reserve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "reserve address")
	}
	address := listener.Addr().String()
	l.reserved[address] = listener
	return address, nil
}

// Listen implements daemon.Network.
func (l *loopback) Listen(network, address string) (net.Listener, error) {
	if listener, ok := l.reserved[address]; ok {
		delete(l.reserved, address)
		return listener, nil
	}
	return net.Listen(network, address)
}

func (l *loopback) close() {
	for _, listener := range l.reserved {
		_ = listener.Close()
	}
}

// newFleet starts the platform and all VMs, and waits until all daemons have the
// configuration.
func newFleet(ctx context.Context, conf *config.Config, times standin.ServiceTime, seed uint64, log *zap.Logger) (*fleet, error) {
	f := &fleet{
		conf:     conf,
		platform: standin.NewPlatform(0),
		network:  &loopback{reserved: make(map[string]net.Listener)},
	}
	if err := f.start(times, seed, log); err != nil {
		f.close()
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(times standin.ServiceTime, seed uint64, log *zap.Logger) error {
	envelope, err := config.Seal(f.conf)
	if err != nil {
		return err
	}
	f.platform.Publish(envelope)
	platformURL, err := f.startPlatform()
	if err != nil {
		return err
	}
	var records []membership.Record
	var allSettings []settings.Settings
	for _, s := range f.conf.Services {
		for _, u := range s.Upstreams {
			daemonSettings, err := f.settingsFor(s.Name, u, platformURL)
			if err != nil {
				return err
			}
			allSettings = append(allSettings, daemonSettings)
			records = append(records, vmRecord(daemonSettings))
			f.vms = append(f.vms, &vm{service: s.Name, conf: u, address: daemonSettings.Backend})
		}
	}
	f.platform.SetVMs(records)
	for i, v := range f.vms {
		if err := f.startVM(v, allSettings[i], times, seed+uint64(i), log); err != nil {
			return errors.Wrapf(err, "VM %s", v.conf.Name)
		}
	}
	return nil
}

func (f *fleet) startPlatform() (string, error) {
	address, err := f.network.reserve()
	if err != nil {
		return "", err
	}
	listener, err := f.network.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	f.server = &http.Server{Handler: f.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }()
	return "http://" + address, nil
}

// settingsFor reserves the addresses of one VM and returns the settings of its
// daemon.
func (f *fleet) settingsFor(service string, u config.Upstream, platformURL string) (settings.Settings, error) {
	daemonSettings := *settings.Default()
	daemonSettings.Name, daemonSettings.Service, daemonSettings.Zone, daemonSettings.Region = u.Name, service, u.Zone, u.Region
	daemonSettings.ClockSkewMS = 1 // one machine has one clock
	daemonSettings.Platform = settings.Platform{ConfigURL: platformURL + "/v1/config", VMsURL: platformURL + "/v1/vms"}
	l := &daemonSettings.Listeners
	for _, address := range []*string{&l.Callers, &l.Peers, &l.Egress, &l.Control, &l.Operator, &daemonSettings.Backend} {
		reserved, err := f.network.reserve()
		if err != nil {
			return daemonSettings, err
		}
		*address = reserved
	}
	return daemonSettings, nil
}

func vmRecord(daemonSettings settings.Settings) membership.Record {
	return membership.Record{
		Name: daemonSettings.Name, Service: daemonSettings.Service, State: membership.Live,
		PeerAddress: daemonSettings.Listeners.Peers, ControlAddress: daemonSettings.Listeners.Control,
		Zone: daemonSettings.Zone, Region: daemonSettings.Region,
	}
}

func (f *fleet) startVM(v *vm, daemonSettings settings.Settings, times standin.ServiceTime, seed uint64, log *zap.Logger) error {
	backend, err := standin.NewBackend(standin.BackendOptions{
		Config:      f.conf,
		Service:     v.service,
		Slots:       v.conf.Slots,
		QueueLimit:  v.conf.Connections,
		DefaultTime: times,
		Egress:      "http://" + daemonSettings.Listeners.Egress,
		Seed:        seed,
	})
	if err != nil {
		return err
	}
	listener, err := f.network.Listen("tcp", daemonSettings.Backend)
	if err != nil {
		return err
	}
	backend.Start(listener)
	v.backend = backend
	v.daemon = daemon.New(daemon.Options{Settings: daemonSettings, Network: f.network, Logger: log})
	return v.daemon.Start()
}

// readyTimeout bounds the time until all daemons have the configuration.
const readyTimeout = 10 * time.Second

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range f.vms {
		for v.daemon.ConfigVersion() < f.conf.Version {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "daemon %s has no configuration", v.conf.Name)
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

// vmsOf returns the VMs of a service that have not left.
func (f *fleet) vmsOf(service string) []*vm {
	var vms []*vm
	for _, v := range f.vms {
		if v.service == service && !v.left {
			vms = append(vms, v)
		}
	}
	return vms
}

func (f *fleet) close() {
	for _, v := range f.vms {
		if v.daemon != nil {
			v.daemon.Close()
		}
		if v.backend != nil {
			v.backend.Close()
		}
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	f.network.close()
}

// newKey returns an idempotency key, which carries the current time.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
