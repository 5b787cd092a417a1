package mesh

import (
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// authenticate finds the tenant of the request if the configuration has tenants, and removes its key. It
// returns the code of the refusal, 0 for none. Public routes need no key: among them are those of the calls
// that backend servers make, which carry none. A configuration that is not provably recent allows no key, and
// proves none wrong either.
func (c *callerRequest) authenticate(config *routing.Config) resultcode.Code {
	if config.Tenants == nil {
		return 0
	}
	c.daemon.convention.RemoveTenant(c.r.Header)
	if c.route.Public {
		return 0
	}
	if !c.daemon.recent(config) {
		return resultcode.ConfigurationStale
	}
	if c.tenant = config.Tenants.ByKey(c.head.Key); c.tenant == nil {
		return resultcode.UnknownKey
	}
	return 0
}
