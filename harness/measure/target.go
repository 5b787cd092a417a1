package measure

import "fmt"

// target is a bound on one figure, as stated on the design page.
type target struct {
	figure string
	bound  string
	met    func(Figures) bool
	value  func(Figures) string
}

func targetGoodput(least float64) target {
	return target{
		figure: "goodput", bound: fmt.Sprintf(">=%.2f", least),
		met:   func(f Figures) bool { return f.Goodput >= least },
		value: func(f Figures) string { return fmt.Sprintf("%.3f", f.Goodput) },
	}
}

var (
	targetConfirm = target{
		figure: "confirm_goodput", bound: ">=0.999",
		met: func(f Figures) bool { return !f.NonIdempotentFits || f.NonIdempotentGoodput >= 0.999 },
		value: func(f Figures) string {
			return fmt.Sprintf("%.4f(fits=%t)", f.NonIdempotentGoodput, f.NonIdempotentFits)
		},
	}
	targetRecovery = target{
		figure: "recovery_s", bound: "<=1",
		met:   func(f Figures) bool { return f.Recovery >= 0 && f.Recovery.Seconds() <= 1 },
		value: Figures.recoveryText,
	}
	targetRetries = target{
		figure: "retries_per_request", bound: "<=0.1",
		met:   func(f Figures) bool { return f.Retries <= 0.1 },
		value: func(f Figures) string { return fmt.Sprintf("%.4f", f.Retries) },
	}
	targetWasted = target{
		figure: "wasted_share", bound: "<0.02",
		met:   func(f Figures) bool { return f.WastedShare < 0.02 },
		value: func(f Figures) string { return fmt.Sprintf("%.4f", f.WastedShare) },
	}
)

// TargetLines returns one line per target of the case that says whether it was met.
func (f Figures) TargetLines(o Options) []string {
	var lines []string
	for _, t := range o.Case.Targets {
		verdict := "missed"
		if t.met(f) {
			verdict = "met"
		}
		lines = append(lines, fmt.Sprintf("target deployment=%s case=%s policy=%s figure=%s value=%s bound=%s target=%s",
			o.Deployment.Name, o.Case.Name, o.Policy, t.figure, t.value(f), t.bound, verdict))
	}
	return lines
}
