package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
)

const (
	// budgetInterval is how often the budgets are looked at for the log.
	budgetInterval = 500 * time.Millisecond
	// budgetQuiet is how long a budget must have granted everything at once before its shortage counts as ended.
	budgetQuiet = 5 * time.Second
)

// budgetLoop logs when a budget begins to hold callers back and when it no longer does.
func (d *Daemon) budgetLoop() {
	memory, descriptors := budgetWatch{name: "memory", budget: d.memory}, budgetWatch{name: "descriptors", budget: d.descriptors}
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			memory.check(d.log, now)
			descriptors.check(d.log, now)
		}
	}
}

// budgetWatch follows the shortage of one budget.
type budgetWatch struct {
	name    string
	budget  *membudget.Budget
	refused int64     // reservations that were not granted at once, up to the last check
	begun   time.Time // of the shortage; zero without one
	latest  time.Time // when one was not granted at once
}

func (w *budgetWatch) check(log *zap.Logger, now time.Time) {
	refused := w.budget.Refused()
	isShort := refused > w.refused || w.budget.Waiting() > 0
	w.refused = refused
	if isShort {
		w.latest = now
	}
	switch {
	case isShort && w.begun.IsZero():
		w.begun = now
		log.Warn(eventBudgetShort, zap.String("budget", w.name), zap.Int64("limit", w.budget.Limit()), zap.Int64("reserved", w.budget.Used()),
			zap.Int64("connections", w.budget.Held(membudget.Connections)), zap.Int64("requests", w.budget.Held(membudget.Requests)),
			zap.Int64("bodies", w.budget.Held(membudget.Bodies)), zap.Int64("backend", w.budget.Held(membudget.Backend)),
			zap.Int64("peers", w.budget.Held(membudget.Peers)),
			zap.Int64("waiting", w.budget.Waiting()))
	case !w.begun.IsZero() && now.Sub(w.latest) >= budgetQuiet:
		log.Warn(eventBudgetEnough, zap.String("budget", w.name), zap.Duration("lasted", w.latest.Sub(w.begun)),
			zap.Int64("refused", refused))
		w.begun = time.Time{}
	}
}
