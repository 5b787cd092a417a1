package slots

// IsolateWaiting sets for all queued requests whether they are isolated, by their fingerprints. Those
// that no longer are may start at the next Tick or end of a run.
func (l *Limiter) IsolateWaiting(isolated func(fingerprint uint64) bool) {
	l.isolatedWaiting = 0
	for i := range l.queue {
		w := &l.queue[i]
		if w.Isolated = isolated(w.Fingerprint); w.Isolated {
			l.isolatedWaiting++
		}
	}
}

// blocked reports whether a request has to wait for the end of an isolated run.
func (l *Limiter) blocked(r Request) bool { return r.Isolated && l.isolatedRuns > 0 }

// unblockedAhead counts the requests before a position of the queue that need only a slot.
func (l *Limiter) unblockedAhead(position int) int {
	if l.isolatedRuns == 0 {
		return position
	}
	return position - l.isolatedAhead(position)
}

// isolatedAhead counts the isolated requests before a position of the queue.
func (l *Limiter) isolatedAhead(position int) int {
	if l.isolatedWaiting == 0 {
		return 0
	}
	n := 0
	for _, w := range l.queue[:position] {
		if w.Isolated {
			n++
		}
	}
	return n
}

// fingerprintsAhead counts the different fingerprints of the isolated requests before a position of
// the queue, except one.
func (l *Limiter) fingerprintsAhead(position int, except uint64) int {
	if l.isolatedWaiting == 0 {
		return 0
	}
	seen := map[uint64]struct{}{except: {}}
	for _, w := range l.queue[:position] {
		if w.Isolated {
			seen[w.Fingerprint] = struct{}{}
		}
	}
	return len(seen) - 1
}
