package operator

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"
)

// Health is the response body of /healthz.
type Health struct {
	// State is the state of the daemon's state chart: starting, serving, leaving
	// or stopped. Only serving is answered with status 200, the others with 503.
	State string `json:"state"`
	// ConfigVersion is the version of the configuration in force; 0 means none.
	ConfigVersion uint64 `json:"config_version"`
}

const stateServing = "serving"

// Pages holds the data sources of the operator pages. Its functions are called for
// each request, concurrently.
type Pages struct {
	// Health returns the state of the daemon.
	Health func() Health
	// Upstreams returns the current state of each upstream as a value that can be
	// encoded as JSON.
	Upstreams func() any
	// Counters are served on /debug/vars with the process's expvar variables.
	Counters *Counters
}

// NewHandler returns a handler that serves the operator pages.
func NewHandler(p Pages) (http.Handler, error) {
	app := iris.New()
	// Otherwise iris reads the terminal's properties and logs each registered
	// route.
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutInterruptHandler,
		iris.WithoutAutoFireStatusCode,
	)
	app.Get("/healthz", p.health)
	app.Get("/upstreams", p.upstreams)
	app.Get("/debug/vars", p.vars)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "operator pages")
	}
	return app, nil
}

func (p Pages) health(ctx iris.Context) {
	h := p.Health()
	status := http.StatusServiceUnavailable
	if h.State == stateServing {
		status = http.StatusOK
	}
	writeJSON(ctx.ResponseWriter(), status, h)
}

func (p Pages) upstreams(ctx iris.Context) {
	writeJSON(ctx.ResponseWriter(), http.StatusOK, p.Upstreams())
}

// writeJSON encodes with the standard library: iris's own JSON writer would allocate
// further buffers for a page that is requested a few times a minute.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// vars writes the process's variables in the format of package expvar, with the
// daemon's counters under the name "hawthornpoint".
func (p Pages) vars(ctx iris.Context) {
	w := ctx.ResponseWriter()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%q: %s", varsName, p.Counters.Var())
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != varsName {
			_, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	_, _ = fmt.Fprint(w, "\n}\n")
}

// varsName is the name of the counters on /debug/vars.
const varsName = "hawthornpoint"
