package membership

import "time"

// expiringSet holds keys until ttl has passed since they were last added, and at most
// limit of them.
type expiringSet[K comparable] struct {
	addedAt map[K]time.Time
	limit   int
	ttl     time.Duration
}

func newExpiringSet[K comparable](limit int, ttl time.Duration) expiringSet[K] {
	return expiringSet[K]{addedAt: make(map[K]time.Time), limit: limit, ttl: ttl}
}

// add adds k or renews it. In a full set it replaces the key whose last addition is
// the oldest.
func (s expiringSet[K]) add(now time.Time, k K) {
	if _, ok := s.addedAt[k]; !ok && len(s.addedAt) >= s.limit {
		s.dropOldest()
	}
	s.addedAt[k] = now
}

func (s expiringSet[K]) has(now time.Time, k K) bool {
	addedAt, ok := s.addedAt[k]
	return ok && now.Sub(addedAt) <= s.ttl
}

func (s expiringSet[K]) expire(now time.Time) {
	for k, addedAt := range s.addedAt {
		if now.Sub(addedAt) > s.ttl {
			delete(s.addedAt, k)
		}
	}
}

func (s expiringSet[K]) dropOldest() {
	var oldest K
	var oldestAddedAt time.Time
	for k, addedAt := range s.addedAt {
		if oldestAddedAt.IsZero() || addedAt.Before(oldestAddedAt) {
			oldest, oldestAddedAt = k, addedAt
		}
	}
	delete(s.addedAt, oldest)
}
