package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/quota"
	"github.com/hawthornpoint/hawthornpoint/core/tenancy"
	"github.com/hawthornpoint/hawthornpoint/quotas"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// TokensArgs asks the owner of tenants for tokens. It is exported for net/rpc.
type TokensArgs struct{ Wants []quota.Want }

// newQuotas returns the daemon's part in the quotas of tenants.
func (d *Daemon) newQuotas() *quotas.Controller {
	return quotas.New(quotas.Options{
		Self: d.settings.BackendAddress, Log: d.log, Go: d.workers.Go, Context: d.ctx,
		Bounds: quota.Bounds{Window: d.settings.QuotaWindow, Overshoot: d.settings.QuotaOvershoot, Slack: d.settings.QuotaSlack, ListAge: d.settings.listAge()},
		Count:  func(result string) { d.metrics.Count(metricQuotaQuestions, result) },
		Ask: func(ctx context.Context, daemon string, wants []quota.Want) (quota.Answer, error) {
			p := d.peer(d.peerAddress(daemon))
			answer, err := callPeer[quota.Answer](ctx, p, "Tokens", &TokensArgs{Wants: wants})
			if errors.Is(err, errUnreachable) && p.hasEnded() {
				err = quotas.ErrEnded
			}
			return answer, err
		},
		LimitOf: func(name string) (quota.Limit, bool) {
			table := d.table()
			if table == nil || table.Config().Tenants == nil {
				return quota.Limit{}, false
			}
			tenant := table.Config().Tenants.ByName(name)
			if tenant == nil || !tenant.Limited() {
				return quota.Limit{}, false
			}
			return limitOf(tenant), true
		},
	})
}

func limitOf(t *tenancy.Tenant) quota.Limit { return quota.Limit{Rate: t.Rate, Burst: t.Burst} }

// Tokens grants tokens of the tenants that this daemon owns.
func (c *PeerConn) Tokens(args *TokensArgs, reply *quota.Answer) error {
	*reply = c.daemon.quotas.Serve(c.ctx, args.Wants)
	return nil
}

// tickQuotas passes a changed list of daemons on, and the proof of it. d.mu is held.
func (d *Daemon) tickQuotas() {
	used := d.hasQuotas()
	d.quotas.SetUsed(used)
	if !used {
		return
	}
	if d.listedChanged {
		d.listedChanged = false
		d.quotas.SetDaemons(d.backendAddresses())
	}
	// The list is not that of the store while it holds upstreams that the store does not list.
	if proof, way := d.listFreshness.Latest(); way != "" && !d.dir.Unlisted() {
		d.quotas.SetProven(time.Duration(proof.At))
	}
}

// backendAddresses returns the addresses of all known upstreams. d.mu is held.
func (d *Daemon) backendAddresses() []string {
	all := d.dir.All()
	addresses := make([]string, len(all))
	for i, u := range all {
		addresses[i] = u.Address
	}
	return addresses
}

// takeToken requests a token for the request if its tenant has a quota. It returns false if the request is refused.
func (c *callerRequest) takeToken() bool {
	if c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	d := c.daemon
	r := d.quotas.Take(c.r.Context(), c.tenant.Name, limitOf(c.tenant))
	decision, code := string(r.Outcome), resultcode.QuotaExceeded
	if r.Outcome == quotas.OutcomeUnknown {
		decision, code = string(r.Reason), resultcode.QuotaUnavailable
	}
	d.metrics.Count(metricQuotaDecisions, decision)
	if !r.Allowed() {
		d.metrics.Count(metricQuotaRefusals, c.tenant.Name, decision)
		c.refuse(code, r.Return, decision)
		return false
	}
	c.token, c.hasToken = r.Token, true
	return true
}

// returnToken gives the token back if the request ends with the code and has not run.
func (c *callerRequest) returnToken(code resultcode.Code) {
	if c.hasToken && code.Kind() == resultcode.NotRun {
		c.daemon.quotas.Return(c.token)
	}
}
