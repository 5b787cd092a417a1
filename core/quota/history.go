package quota

import "time"

// grants are tokens that were granted within one step.
type grants struct {
	first, last time.Duration
	count       int
}

// history holds the grants of a window, the oldest first. Its memory is bounded by the number of steps.
type history struct {
	steps []grants
	count int
}

// add records tokens that were granted in a step of a length.
func (h *history) add(now time.Duration, count int, step time.Duration) {
	if count == 0 {
		return
	}
	h.count += count
	if last := len(h.steps) - 1; last >= 0 && now-h.steps[last].first < step {
		h.steps[last].last = now
		h.steps[last].count += count
		return
	}
	h.steps = append(h.steps, grants{now, now, count})
}

// expire removes the grants that are older than a window.
func (h *history) expire(now, window time.Duration) {
	for len(h.steps) > 0 && now-h.steps[0].last > window {
		h.count -= h.steps[0].count
		h.steps = h.steps[1:]
	}
}
