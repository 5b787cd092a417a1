// Package tenancy holds the tenants of a configuration and finds the tenant of an API key.
//
// Keys are kept as digests and looked up by digest, so that the time of a lookup tells nothing about a key,
// and no key can reach a log, a metric or a message through this package. It does no I/O and reads no clock.
package tenancy

import (
	"crypto/sha256"
	"math"

	"github.com/go-faster/errors"
)

// MaxKeyBytes is the longest key that is accepted. Longer ones belong to no tenant.
const MaxKeyBytes = 1024

// Tenant is a customer whose callers share keys, a priority and a quota.
type Tenant struct {
	Name string
	// Keys are the API keys of the tenant. A Table keeps only their digests.
	Keys []string
	// Rank replaces the rank of the route if HasRank is set; 0 is the most important.
	Rank    int
	HasRank bool
	// Rate is the quota in requests per second over all daemons together, 0 for none, and Burst the
	// number of requests that may come at once beyond it.
	Rate, Burst float64
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// RankOf returns the rank of the tenant's requests on a route with the given rank.
func (t *Tenant) RankOf(routeRank int) int {
	if t != nil && t.HasRank {
		return t.Rank
	}
	return routeRank
}

// digest identifies a key.
type digest [sha256.Size]byte

// Table holds the tenants of one configuration. It is immutable and safe for concurrent use.
type Table struct {
	byKey  map[digest]*Tenant
	byName map[string]*Tenant
	// limited says that some tenant has a quota.
	limited bool
}

// NewTable returns the table of the tenants that are valid, and an error for each that is not. An error
// names the tenant and the field, and never a key. A key that several tenants hold belongs to none.
func NewTable(tenants []Tenant) (*Table, []error) {
	t := &Table{byKey: make(map[digest]*Tenant), byName: make(map[string]*Tenant, len(tenants))}
	var problems []error
	for i := range tenants {
		tenant := tenants[i]
		if err := tenant.check(); err != nil {
			problems = append(problems, errors.Wrapf(err, "tenants[%d] %q", i, shortName(tenant.Name)))
			continue
		}
		if t.byName[tenant.Name] != nil {
			problems = append(problems, errors.Errorf("tenants[%d] %q: name: used twice", i, shortName(tenant.Name)))
			continue
		}
		t.byName[tenant.Name] = &tenant
		t.limited = t.limited || tenant.Limited()
		problems = append(problems, t.addKeys(i, &tenant)...)
		tenant.Keys = nil
	}
	for d, tenant := range t.byKey {
		if tenant == nil {
			delete(t.byKey, d)
		}
	}
	return t, problems
}

// addKeys adds the keys of a tenant. A key that another tenant holds is kept without a tenant.
func (t *Table) addKeys(index int, tenant *Tenant) (problems []error) {
	for j, key := range tenant.Keys {
		if key == "" || len(key) > MaxKeyBytes {
			problems = append(problems, errors.Errorf("tenants[%d] %q: keys[%d]: length %d", index, shortName(tenant.Name), j, len(key)))
			continue
		}
		d := sha256.Sum256([]byte(key))
		if holder, known := t.byKey[d]; known && holder != tenant {
			t.byKey[d] = nil
			problems = append(problems, errors.Errorf("tenants[%d] %q: keys[%d]: held by another tenant too", index, shortName(tenant.Name), j))
			continue
		}
		t.byKey[d] = tenant
	}
	return problems
}

func (t *Tenant) check() error {
	switch {
	case t.Name == "":
		return errors.New("name: missing")
	case t.Rate < 0 || math.IsNaN(t.Rate) || math.IsInf(t.Rate, 0):
		return errors.Errorf("rate: %v is not a rate", t.Rate)
	case t.Burst < 0 || math.IsNaN(t.Burst) || math.IsInf(t.Burst, 0):
		return errors.Errorf("burst: %v is not a number of requests", t.Burst)
	}
	return nil
}

// maxNameBytes bounds what an error quotes of a name.
const maxNameBytes = 64

func shortName(name string) string { return name[:min(len(name), maxNameBytes)] }

// ByKey returns the tenant that holds the key, nil if none does.
func (t *Table) ByKey(key string) *Tenant {
	if len(key) > MaxKeyBytes {
		key = ""
	}
	return t.byKey[sha256.Sum256([]byte(key))]
}

// ByName returns the tenant with the name, nil if there is none.
func (t *Table) ByName(name string) *Tenant { return t.byName[name] }

// Limited reports whether some tenant has a quota.
func (t *Table) Limited() bool { return t.limited }

// Len returns the number of tenants.
func (t *Table) Len() int { return len(t.byName) }
