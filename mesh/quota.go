package mesh

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/quota"
	"github.com/hawthornpoint/hawthornpoint/core/tenancy"
	"github.com/hawthornpoint/hawthornpoint/quotas"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// TokensArgs asks the owner of tenants for tokens. It is exported for net/rpc.
type TokensArgs struct {
	Wants []quota.Want
	// Latest is the latest list of daemons that the sender has heard of.
	Latest quota.List
}

// newQuotas returns the daemon's part in the quotas of tenants.
func (d *Daemon) newQuotas() *quotas.Controller {
	return quotas.New(quotas.Options{
		Self: d.settings.BackendAddress, Log: d.log, Go: d.workers.Go, Context: d.ctx,
		Bounds: quota.Bounds{Window: d.settings.QuotaWindow, Overshoot: d.settings.QuotaOvershoot, Slack: d.settings.QuotaSlack},
		Count:  func(result string) { d.metrics.Count(metricQuotaQuestions, result) },
		Ask: func(ctx context.Context, daemon string, latest quota.List, wants []quota.Want) (quota.Answer, error) {
			p := d.peer(d.peerAddress(daemon))
			answer, err := callPeer[quota.Answer](ctx, p, "Tokens", &TokensArgs{Wants: wants, Latest: latest})
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
	*reply = c.daemon.quotas.Serve(c.ctx, args.Latest, args.Wants)
	return nil
}

// tickQuotas passes a changed list of daemons on. d.mu is held.
func (d *Daemon) tickQuotas() {
	table := d.table()
	used := table != nil && table.Config().Tenants != nil && table.Config().Tenants.Limited()
	d.quotas.SetUsed(used)
	if !used || d.applied != d.replica.At() {
		return // changes up to the position of the replica are being put in force
	}
	version := quota.Version{Settled: d.settledAt, At: d.applied}
	if !d.listedChanged {
		d.quotas.SetVersion(version)
		return
	}
	d.listedChanged = false
	members := d.dir.Members()
	if d.quotas.SetDaemons(version, members) {
		d.log.Info(eventQuotaDaemons, zap.Int("daemons", len(members)), zap.Bool("member", slices.Contains(members, d.settings.BackendAddress)),
			zap.Bool("store_away", d.storeUnavailable), positionField(d.applied))
	}
}

// takeToken requests a token for the request if its tenant has a quota. It returns false if the request is refused.
func (c *callerRequest) takeToken() bool {
	if c.tenant == nil || !c.tenant.Limited() {
		return true
	}
	d := c.daemon
	r := d.quotas.Take(c.r.Context(), c.tenant.Name, limitOf(c.tenant))
	d.metrics.Count(metricQuotaDecisions, string(r.Outcome))
	if !r.Allowed() {
		d.metrics.Count(metricQuotaRefusals, c.tenant.Name, string(r.Outcome))
		c.refuse(resultcode.QuotaExceeded, r.Return, string(r.Outcome))
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
