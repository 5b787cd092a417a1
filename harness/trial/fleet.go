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

// place is one upstream with its daemon.
type place struct {
	service string
	conf    config.Upstream
	backend *standin.Backend
	daemon  *daemon.Daemon
	address string // of the backend server
	left    bool
}

// fleet is a whole deployment in this process.
type fleet struct {
	conf     *config.Config
	platform *standin.Platform
	server   *http.Server
	places   []*place
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

// newFleet starts everything and waits until all daemons have the configuration.
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
	var all []settings.Settings
	for _, s := range f.conf.Services {
		for _, u := range s.Upstreams {
			set, err := f.settingsFor(s.Name, u, platformURL)
			if err != nil {
				return err
			}
			all = append(all, set)
			records = append(records, record(set))
			f.places = append(f.places, &place{service: s.Name, conf: u, address: set.Backend})
		}
	}
	f.platform.SetVMs(records)
	for i, p := range f.places {
		if err := f.startPlace(p, all[i], times, seed+uint64(i), log); err != nil {
			return errors.Wrapf(err, "place %s", p.conf.Name)
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

// settingsFor reserves the addresses of one place.
func (f *fleet) settingsFor(service string, u config.Upstream, platformURL string) (settings.Settings, error) {
	set := *settings.Default()
	set.Name, set.Service, set.Zone, set.Region = u.Name, service, u.Zone, u.Region
	set.ClockSkewMS = 1 // one machine has one clock
	set.Platform = settings.Platform{ConfigURL: platformURL + "/v1/config", VMsURL: platformURL + "/v1/vms"}
	l := &set.Listeners
	for _, address := range []*string{&l.Callers, &l.Peers, &l.Egress, &l.Control, &l.Operator, &set.Backend} {
		reserved, err := f.network.reserve()
		if err != nil {
			return set, err
		}
		*address = reserved
	}
	return set, nil
}

func record(set settings.Settings) membership.Record {
	return membership.Record{
		Name: set.Name, Service: set.Service, State: membership.Live,
		PeerAddress: set.Listeners.Peers, ControlAddress: set.Listeners.Control,
		Zone: set.Zone, Region: set.Region,
	}
}

func (f *fleet) startPlace(p *place, set settings.Settings, times standin.ServiceTime, seed uint64, log *zap.Logger) error {
	backend, err := standin.NewBackend(standin.BackendOptions{
		Config:      f.conf,
		Service:     p.service,
		Slots:       p.conf.Slots,
		QueueLimit:  p.conf.Connections,
		DefaultTime: times,
		Egress:      "http://" + set.Listeners.Egress,
		Seed:        seed,
	})
	if err != nil {
		return err
	}
	listener, err := f.network.Listen("tcp", set.Backend)
	if err != nil {
		return err
	}
	backend.Start(listener)
	p.backend = backend
	p.daemon = daemon.New(daemon.Options{Settings: set, Network: f.network, Logger: log})
	return p.daemon.Start()
}

// readyTimeout bounds the time until all daemons have the configuration.
const readyTimeout = 10 * time.Second

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range f.places {
		for p.daemon.ConfigVersion() < f.conf.Version {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "daemon %s has no configuration", p.conf.Name)
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

// ofService returns the places of a service that have not left.
func (f *fleet) ofService(service string) []*place {
	var places []*place
	for _, p := range f.places {
		if p.service == service && !p.left {
			places = append(places, p)
		}
	}
	return places
}

func (f *fleet) close() {
	for _, p := range f.places {
		if p.daemon != nil {
			p.daemon.Close()
		}
		if p.backend != nil {
			p.backend.Close()
		}
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	f.network.close()
}

// newKey returns an idempotency key that carries the present time.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
