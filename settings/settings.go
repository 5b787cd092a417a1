package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// Settings holds the settings of one daemon.
type Settings struct {
	Name         string    `json:"name" doc:"Name of the place: the configured upstream that this daemon runs beside."`
	Service      string    `json:"service" doc:"Name of the service that the backend server belongs to."`
	Zone         string    `json:"zone" doc:"Availability zone of the VM."`
	Region       string    `json:"region" doc:"Region of the VM."`
	Listeners    Listeners `json:"listeners"`
	Backend      string    `json:"backend" doc:"Address of the local backend server, as IP:port."`
	Platform     Platform  `json:"platform"`
	Limits       Limits    `json:"limits,omitzero"`
	DrainLimitMS int       `json:"drain_limit_ms" default:"660000" min:"1" max:"86400000" doc:"Longest time that a leaving daemon waits for requests in flight, in milliseconds. The default of 11 minutes is longer than the longest remaining time of a call, 10 minutes; a shorter limit can cut calls."`
	LeaveGraceMS int       `json:"leave_grace_ms" default:"2000" min:"0" max:"5000" doc:"Time during which a leaving daemon still accepts new calls, in milliseconds, because callers learn of it late."`
	ClockSkewMS  int       `json:"clock_skew_ms" default:"1000" min:"0" max:"60000" doc:"Largest difference between the clocks of VMs and callers, in milliseconds. Keys that are further in the future are refused."`
	LogLevel     string    `json:"log_level" default:"info" doc:"Least severe level that is logged: debug, info, warn or error."`
}

// Listeners holds the addresses that a daemon listens on.
type Listeners struct {
	Callers  string `json:"callers" doc:"Address for callers, as IP:port. Call metadata headers from here are removed."`
	Peers    string `json:"peers" doc:"Address for calls forwarded by other daemons, as IP:port. Peers are told this address, so it cannot be 0.0.0.0 or [::]."`
	Egress   string `json:"egress" doc:"Loopback address for downstream calls of the local backend server, as IP:port."`
	Control  string `json:"control" doc:"Address of the control exchange (net/rpc), as IP:port. Peers are told this address, so it cannot be 0.0.0.0 or [::]."`
	Operator string `json:"operator" doc:"Address of the health, upstream and counter pages, as IP:port."`
}

// Platform holds the addresses of the services that a daemon reads.
type Platform struct {
	ConfigURL string `json:"config_url" doc:"URL of the published envelope, such as http://10.0.0.5:8500/v1/config. The host is an IP address; a query is added by the daemon."`
	VMsURL    string `json:"vms_url" doc:"URL of the list of VMs, such as http://10.0.0.5:8500/v1/vms. The host is an IP address."`
}

// Limits bounds the memory of one daemon. docs/CAPACITY.md lists the memory for each
// limit and the defaults with which a daemon needs more than its 32 MB at the "size in
// two years" of docs/design.md.
type Limits struct {
	MaxCalls       int `json:"max_calls" default:"4096" min:"1" max:"1000000" doc:"Calls that the daemon holds at once; further ones are refused."`
	MaxBodyBytes   int `json:"max_body_bytes" default:"1048576" min:"1" max:"1073741824" doc:"Largest request body, in bytes."`
	MaxHeaderBytes int `json:"max_header_bytes" default:"16384" min:"4096" max:"1048576" doc:"Largest request header, in bytes."`
	IdleTimeoutMS  int `json:"idle_timeout_ms" default:"60000" min:"1" max:"3600000" doc:"Time after which an idle connection is closed, in milliseconds."`
	ReadTimeoutMS  int `json:"read_timeout_ms" default:"10000" min:"1" max:"600000" doc:"Longest time for reading a request header, and each 64 KB of a caller's body, in milliseconds."`
	MaxConnections int `json:"max_connections" default:"2048" min:"1" max:"1000000" doc:"Connections that each listener accepts at once."`
	QueueLimit     int `json:"queue_limit" default:"256" min:"1" max:"100000" doc:"Requests that wait in front of the local backend server."`
	RecordLimit    int `json:"record_limit" default:"66000" min:"1" max:"10000000" doc:"At-most-once records. The default is 110 calls per second over the 10 minutes that a record is kept. A record takes about 0.5 KB, or 1.4 KB with a small answer, so that a full table needs more than 32 MB; see docs/CAPACITY.md."`
	AnswerBytes    int `json:"answer_bytes" default:"8388608" min:"0" max:"1073741824" doc:"Bytes of answers stored with at-most-once records, over all records."`
}

// DrainLimit returns the drain limit as a duration.
func (s *Settings) DrainLimit() time.Duration { return milliseconds(s.DrainLimitMS) }

// LeaveGrace returns the grace period, in which a leaving daemon still accepts new calls.
func (s *Settings) LeaveGrace() time.Duration { return milliseconds(s.LeaveGraceMS) }

// ClockSkew returns the clock skew as a duration.
func (s *Settings) ClockSkew() time.Duration { return milliseconds(s.ClockSkewMS) }

// IdleTimeout returns the idle timeout as a duration.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMS) }

// ReadTimeout returns the read timeout as a duration.
func (l Limits) ReadTimeout() time.Duration { return milliseconds(l.ReadTimeoutMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Default returns settings in which only the fields with a default are set.
func Default() *Settings {
	s := new(Settings)
	fillDefaults(s)
	return s
}

// Load reads and checks a settings file. The error is an *Error if the file could be
// read but has problems.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, problems := Parse(file, data)
	if len(problems) > 0 {
		return nil, &Error{problems}
	}
	return s, nil
}

// Error reports the problems of a settings file.
type Error struct {
	// Problems is ordered by line and not empty.
	Problems []config.Problem
}

// Error returns a text with the first three problems and the number of the others.
func (e *Error) Error() string {
	return "settings: " + config.Join(e.Problems).Error()
}

// Parse reads and checks settings. The settings are nil if there are problems. The
// file name is used in problems only.
func Parse(file string, data []byte) (*Settings, []config.Problem) {
	s := Default()
	doc := config.Decode(file, data, s)
	if doc.Parsed() {
		check(s, doc)
	}
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}
