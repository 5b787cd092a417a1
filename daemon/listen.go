package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/exchange"
	"github.com/hawthornpoint/hawthornpoint/operator"
)

// listen opens all listeners. It must return before the node is marked as ready, because
// the control and peer addresses are announced to peers.
func (d *Daemon) listen() error {
	handlers := map[string]http.Handler{
		d.set.Listeners.Callers: http.HandlerFunc(d.serveCaller),
		d.set.Listeners.Peers:   http.HandlerFunc(d.servePeer),
		d.set.Listeners.Egress:  http.HandlerFunc(d.serveEgress),
	}
	names := map[string]string{
		d.set.Listeners.Callers: "callers",
		d.set.Listeners.Peers:   "peers",
		d.set.Listeners.Egress:  "egress",
	}
	for address, handler := range handlers {
		if err := d.listenHTTP(names[address], address, handler); err != nil {
			return err
		}
	}
	if err := d.listenOperator(); err != nil {
		return err
	}
	return d.listenControl()
}

func (d *Daemon) openListener(name, address string) (net.Listener, error) {
	l, err := d.opts.Network.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listener %s", name)
	}
	d.addrs[name] = l.Addr()
	d.listeners = append(d.listeners, l)
	return newLimitListener(l, d.set.Limits.MaxConnections), nil
}

func (d *Daemon) listenHTTP(name, address string, handler http.Handler) error {
	l, err := d.openListener(name, address)
	if err != nil {
		return err
	}
	d.serveHTTP(name, l, handler)
	return nil
}

func (d *Daemon) serveHTTP(name string, l net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           resetAborted(handler),
		ConnContext:       withConn,
		ReadHeaderTimeout: d.set.Limits.ReadTimeout(),
		IdleTimeout:       d.set.Limits.IdleTimeout(),
		MaxHeaderBytes:    d.set.Limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(d.log),
		// "OPTIONS *" is refused like every other request that names no service.
		DisableGeneralOptionsHandler: true,
	}
	d.servers = append(d.servers, server)
	d.workers.Go(func() {
		if name != "operator" {
			d.awaitConfig()
		}
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener failed", zap.String("listener", name), zap.Error(err))
		}
	})
}

// maxConfigWait bounds the time for which calls wait for the configuration of a
// starting daemon. Peers deliver it within a second when the configuration service is
// down.
const maxConfigWait = time.Second

// awaitConfig delays the call listeners of a starting daemon until a configuration is
// in force, at most for maxConfigWait. Calls wait in the listeners' backlogs instead of
// being refused just before the configuration arrives.
func (d *Daemon) awaitConfig() {
	timer := time.NewTimer(maxConfigWait)
	defer timer.Stop()
	select {
	case <-d.configured:
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

func (d *Daemon) listenOperator() error {
	l, err := d.openListener("operator", d.set.Listeners.Operator)
	if err != nil {
		return err
	}
	handler, err := operator.NewHandler(operator.Pages{
		Counters:  d.counters,
		Health:    d.health,
		Upstreams: d.upstreamStates,
	})
	if err != nil {
		return errors.Wrap(err, "operator pages")
	}
	d.serveHTTP("operator", l, handler)
	return nil
}

func (d *Daemon) health() operator.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	return operator.Health{State: string(d.node.State()), ConfigVersion: d.node.ConfigVersion()}
}

func (d *Daemon) upstreamStates() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.UpstreamStates()
}

func (d *Daemon) listenControl() error {
	l, err := d.openListener("control", d.set.Listeners.Control)
	if err != nil {
		return err
	}
	d.exchange, err = exchange.NewServer(l, (*controlHandler)(d))
	if err != nil {
		return err
	}
	d.workers.Go(func() {
		d.exchange.Serve(func(err error) { d.log.Error("control exchange does not accept connections", zap.Error(err)) })
	})
	return nil
}
