package settings

import (
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// LogLevels returns the allowed values of log_level.
func LogLevels() []string { return []string{"debug", "info", "warn", "error"} }

// Check returns the problems of settings that were not parsed from a file.
func Check(s *Settings) []config.Problem {
	doc := new(config.Document)
	check(s, doc)
	return doc.Problems()
}

func check(s *Settings, doc *config.Document) {
	for _, f := range []struct{ field, value string }{
		{"name", s.Name}, {"service", s.Service}, {"zone", s.Zone}, {"region", s.Region},
	} {
		if err := config.CheckName(f.value); err != nil {
			doc.Problemf(f.field, "%v", err)
		}
	}
	checkBounds(s, doc)
	checkAddresses(s, doc)
	checkURL(doc, "platform.config_url", s.Platform.ConfigURL)
	checkURL(doc, "platform.vms_url", s.Platform.VMsURL)
	if !slices.Contains(LogLevels(), s.LogLevel) {
		doc.Problemf("log_level", "%q is not one of %s", s.LogLevel, strings.Join(LogLevels(), ", "))
	}
}

func checkBounds(s *Settings, doc *config.Document) {
	eachField(s, func(path string, f reflect.StructField, v reflect.Value) {
		low, high, ok := bounds(f)
		if ok && (v.Int() < int64(low) || v.Int() > int64(high)) {
			doc.Problemf(path, "%d is outside %d..%d", v.Int(), low, high)
		}
	})
}

// addressRule describes the requirements on an address in addition to IP:port.
type addressRule struct {
	field, value string
	loopback     bool // only processes of the local VM may connect
	connectable  bool // peers, or this daemon to its backend server, connect to the address
}

func checkAddresses(s *Settings, doc *config.Document) {
	rules := []addressRule{
		{field: "listeners.callers", value: s.Listeners.Callers},
		{field: "listeners.peers", value: s.Listeners.Peers, connectable: true},
		{field: "listeners.egress", value: s.Listeners.Egress, loopback: true},
		{field: "listeners.control", value: s.Listeners.Control, connectable: true},
		{field: "listeners.operator", value: s.Listeners.Operator},
		{field: "backend", value: s.Backend, connectable: true},
	}
	seen := make(map[netip.AddrPort]string)
	for _, rule := range rules {
		address, err := rule.parse()
		if err != nil {
			doc.Problemf(rule.field, "%v", err)
			continue
		}
		if first, ok := seen[address]; ok {
			doc.Problemf(rule.field, "%s is already the address of %s", address, first)
			continue
		}
		seen[address] = rule.field
	}
}

func (r addressRule) parse() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(r.value)
	switch {
	case err != nil:
		return address, errors.Errorf("%q is not an address of the form IP:port; host names are not allowed", r.value)
	case address.Port() == 0:
		return address, errors.Errorf("%s has port 0; peers need a fixed port", address)
	case r.loopback && !address.Addr().IsLoopback():
		return address, errors.Errorf("%s is not a loopback address; other VMs must not reach it", address)
	case r.connectable && address.Addr().IsUnspecified():
		return address, errors.Errorf("%s is an unspecified address; nobody can connect to it", address)
	}
	return address, nil
}

func checkURL(doc *config.Document, field, text string) {
	u, err := url.Parse(text)
	switch {
	case err != nil || u.Scheme != "http" || u.Host == "":
		doc.Problemf(field, "%q is not an http URL", text)
	case !isIP(u.Hostname()):
		doc.Problemf(field, "host %q is not an IP address", u.Hostname())
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		doc.Problemf(field, "user, query and fragment are not allowed")
	}
}

func isIP(host string) bool {
	_, err := netip.ParseAddr(host)
	return err == nil
}
