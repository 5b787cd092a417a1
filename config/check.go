package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

const (
	// MaxNameLength bounds names, in bytes: service and kind travel in a call's
	// metadata header, which is at most 1 KiB.
	MaxNameLength = 64
	// MaxChainLength is the largest number of kinds in one chain of calls.
	MaxChainLength = 7
	// MinPatienceMS and MaxPatienceMS bound Kind.PatienceMS, in milliseconds. A call
	// cannot carry more remaining time than callmeta.MaxRemainingTime.
	MinPatienceMS = 1
	MaxPatienceMS = int(callmeta.MaxRemainingTime / 1e6)
	// MaxCapacity bounds the slots and the connections of an upstream, so that
	// sums and products of them cannot overflow.
	MaxCapacity = 1_000_000
)

// Methods returns the HTTP methods that a kind may have. CONNECT and TRACE are
// left out: a daemon does not forward them.
func Methods() []string {
	return []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
}

// checker checks the services of a configuration and adds their problems to doc, the
// document of the descriptions. checkSheet and checkSheetServices take the document
// of the sheet.
type checker struct {
	services []Service
	doc      *Document
}

// checkServices checks everything except the sheet.
func checkServices(services []Service, doc *Document) {
	c := &checker{services: services, doc: doc}
	if len(services) == 0 {
		doc.Problemf("services", "at least one service is needed")
	}
	names := make(map[string]string)
	upstreams := make(map[string]string)
	for i := range services {
		if doc.limitReached() {
			return
		}
		field := fmt.Sprintf("services[%d]", i)
		c.name(field+".name", services[i].Name)
		c.uniqueName(names, field+".name", services[i].Name)
		c.upstreams(upstreams, field, services[i].Upstreams)
		c.previousHomes(field+".previous_homes", services[i].PreviousHomes)
		c.kinds(field, services[i].Kinds)
	}
	c.rankOrder()
	c.callGraph()
}

func (c *checker) uniqueName(firstField map[string]string, field, name string) {
	if name == "" {
		return
	}
	if first, ok := firstField[name]; ok {
		c.doc.Problemf(field, "%s is already the name of %s", name, first)
		return
	}
	firstField[name] = strings.TrimSuffix(field, ".name")
}

func (c *checker) name(field, name string) {
	if err := CheckName(name); err != nil {
		c.doc.Problemf(field, "%v", err)
	}
}

// CheckName returns an error if name cannot be used unescaped as one element of a
// URL path, or is longer than MaxNameLength.
func CheckName(name string) error {
	if len(name) > MaxNameLength {
		return errors.Errorf("%d bytes, at most %d allowed", len(name), MaxNameLength)
	}
	if !safeName(name) {
		return errors.Errorf("%q is not a name: letters, digits, '-', '_' and '.' are allowed, with a letter or digit first", name)
	}
	return nil
}

// safeName reports whether name can be one element of a URL path unescaped. It
// rejects "." and "..", which clients remove from paths.
func safeName(name string) bool {
	if name == "" || strings.IndexByte("-_.", name[0]) >= 0 {
		return false
	}
	return onlySafeBytes(name, "-_.")
}

func onlySafeBytes(s, extra string) bool {
	for i := range len(s) {
		b := s[i]
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !letter && !(b >= '0' && b <= '9') && strings.IndexByte(extra, b) < 0 {
			return false
		}
	}
	return true
}

func (c *checker) between(field string, value, low, high int) {
	if value < low || value > high {
		c.doc.Problemf(field, "%d is outside %d..%d", value, low, high)
	}
}

func (c *checker) upstreams(seen map[string]string, service string, upstreams []Upstream) {
	if len(upstreams) == 0 {
		c.doc.Problemf(service+".upstreams", "at least one upstream is needed")
	}
	for i, u := range upstreams {
		if c.doc.limitReached() {
			return
		}
		field := fmt.Sprintf("%s.upstreams[%d]", service, i)
		c.name(field+".name", u.Name)
		c.uniqueName(seen, field+".name", u.Name)
		c.name(field+".zone", u.Zone)
		c.name(field+".region", u.Region)
		c.between(field+".slots", u.Slots, 1, MaxCapacity)
		c.between(field+".connections", u.Connections, 1, MaxCapacity)
	}
}

func (c *checker) previousHomes(field string, lists [][]string) {
	for i, list := range lists {
		seen := make(map[string]string)
		listField := fmt.Sprintf("%s[%d]", field, i)
		if len(list) == 0 {
			c.doc.Problemf(listField, "an earlier list of upstreams cannot be empty")
		}
		for j, name := range list {
			nameField := fmt.Sprintf("%s[%d]", listField, j)
			c.name(nameField, name)
			c.uniqueName(seen, nameField, name)
		}
	}
}

func (c *checker) kinds(service string, kinds []Kind) {
	if len(kinds) == 0 {
		c.doc.Problemf(service+".kinds", "at least one kind is needed")
	}
	names := make(map[string]string)
	for i, k := range kinds {
		if c.doc.limitReached() {
			return
		}
		field := fmt.Sprintf("%s.kinds[%d]", service, i)
		c.name(field+".name", k.Name)
		c.uniqueName(names, field+".name", k.Name)
		if !slices.Contains(Methods(), k.Method) {
			c.doc.Problemf(field+".method", "%q is not one of %s", shorten(k.Method), strings.Join(Methods(), ", "))
		}
		c.path(field+".path", k.Path)
		c.between(field+".rank", k.Rank, 0, callmeta.MaxRank)
		c.between(field+".patience_ms", k.PatienceMS, MinPatienceMS, MaxPatienceMS)
		c.between(field+".retries", k.Retries, 0, callmeta.MaxRetries)
	}
	c.ambiguousPaths(service, kinds)
}

func (c *checker) path(field, path string) {
	if !strings.HasPrefix(path, "/") {
		c.doc.Problemf(field, "%q does not begin with a slash", shorten(path))
		return
	}
	if path == "/" {
		return
	}
	for e := range strings.SplitSeq(path[1:], "/") {
		name := e
		if isPlaceholder(e) {
			name = e[1 : len(e)-1]
		}
		if name == "" || name == "." || name == ".." || !onlySafeBytes(name, "-_.~") {
			c.doc.Problemf(field, "%q is not a path element: letters, digits, '-', '_', '.' and '~' are allowed, or a name in braces", shorten(e))
			return
		}
	}
}

// rankOrder checks invariant 2 of docs/design.md: load shedding must refuse every
// read (idempotent kind) before it refuses the first confirmation (non-idempotent
// kind). Every non-idempotent kind therefore needs a rank below that of every
// idempotent kind.
func (c *checker) rankOrder() {
	lowest, lowestKind := callmeta.MaxRank+1, ""
	c.eachKind(func(field string, s *Service, k *Kind) {
		if k.Idempotent && c.doc.decoded(field+".rank") && k.Rank < lowest {
			lowest, lowestKind = k.Rank, s.Name+"/"+k.Name
		}
	})
	c.eachKind(func(field string, _ *Service, k *Kind) {
		if !k.Idempotent && c.doc.decoded(field+".idempotent") && k.Rank >= lowest {
			c.doc.Problemf(field+".rank", "a non-idempotent kind needs a rank below that of every idempotent kind; the idempotent %s has rank %d", lowestKind, lowest)
		}
	})
}

func (c *checker) eachKind(f func(field string, s *Service, k *Kind)) {
	for i := range c.services {
		s := &c.services[i]
		for j := range s.Kinds {
			f(fmt.Sprintf("services[%d].kinds[%d]", i, j), s, &s.Kinds[j])
		}
	}
}
