package node

import (
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/core/balancer"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// IssueToken returns a token that binds a later non-idempotent call of a service to a
// healthy upstream and its incarnation. The code is OK, or the reason why there is no
// token.
func (n *Node) IssueToken(now time.Time, service string) (string, resultcode.Code) {
	n.detectPause(now)
	if n.conf == nil {
		return "", resultcode.NotConfigured
	}
	if n.conf.Service(service) == nil {
		return "", resultcode.UnknownService
	}
	name, incarnation, code := n.pickIncarnation(now, n.picker(now, service))
	if code != resultcode.OK {
		return "", code
	}
	text, err := idempotency.NewToken(idempotency.Token{
		Service:     service,
		Upstream:    name,
		Incarnation: incarnation,
		Nonce:       n.cfg.NewID(),
		Issued:      now,
	})
	if err != nil {
		return "", resultcode.BadToken
	}
	return text, resultcode.OK
}

// pickIncarnation picks an upstream whose incarnation is known from a reply or
// from the control exchange. The list of VMs does not contain incarnations.
func (n *Node) pickIncarnation(now time.Time, p *balancer.Picker) (string, uuid.UUID, resultcode.Code) {
	incarnations := make(map[string]uuid.UUID)
	exclude := make(map[string]bool)
	for _, s := range p.States() {
		incarnations[s.Name] = s.Incarnation
		if s.Incarnation == uuid.Nil {
			exclude[s.Name] = true
		}
	}
	name, code := p.Pick(now, exclude, 0)
	return name, incarnations[name], code
}
