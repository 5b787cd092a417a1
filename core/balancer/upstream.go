package balancer

import (
	"sort"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/chart"
)

// States and events of the chart "upstream" that this package uses.
const (
	stateCold    chart.State = "cold"
	stateWarming chart.State = "warming"
	stateHealthy chart.State = "healthy"
	stateEjected chart.State = "ejected"
	stateProbing chart.State = "probing"
	stateLeaving chart.State = "leaving"
	stateGone    chart.State = "gone"

	eventAnswered    chart.Event = "answered"
	eventWarmed      chart.Event = "warmed"
	eventEject       chart.Event = "eject"
	eventRetryTime   chart.Event = "retry_time"
	eventProbeFailed chart.Event = "probe_failed"
	eventLeave       chart.Event = "leave"
	eventVanish      chart.Event = "vanish"
	eventRestart     chart.Event = "restart"
)

var upstreamChart = chart.MustLoad("upstream")

const (
	// slowStartTime is the time in which a new incarnation reaches its full weight;
	// caches and connection pools of a cold backend server fill in seconds.
	slowStartTime = 5 * time.Second
	// returnRampTime is the time in which an upstream that returns from ejection
	// reaches its full weight. It is shorter because the upstream keeps its caches
	// and recovery is measured 1 s after the cause ends.
	returnRampTime = time.Second
	// minRamp is the share of the weight at the start; a cold upstream must get
	// some picks, because the ramp begins with its first answer.
	minRamp = 0.1
	// minAlpha is the minimum weight of a new sample in the latency average.
	minAlpha = 0.1
	// latencyDecayTime is the time without samples after which a quarter of the
	// difference between the latency average and the median of the service
	// remains. Without the decay, an upstream that was slow once would rarely be
	// measured again, and recovery is measured 1 s after the cause ends.
	latencyDecayTime = time.Second
	// failurePenaltyTime is how long a failure raises the cost of an upstream.
	// Without the penalty an upstream that refuses connections immediately looks
	// idle and attracts picks.
	failurePenaltyTime = 2 * time.Second
	// failurePenalty is the multiple of the cost that is added per consecutive
	// failure.
	failurePenalty = 4
	// connectPenalty is the published cost of opening a connection.
	connectPenalty = time.Millisecond
	// idleConnectionTimeout is the time without samples after which estimated
	// connections are taken to be closed. It is a common keep-alive limit.
	idleConnectionTimeout = 30 * time.Second
	// initialLatency is assumed while no upstream of the service has been measured.
	initialLatency = time.Millisecond
)

// upstream holds the state and the measurements of one upstream.
type upstream struct {
	name                 string
	salt                 uint64 // makes participation during slow start independent between upstreams
	address              string
	config               config.Upstream
	tier                 tier
	incarnation          uuid.UUID
	previousIncarnations [4]uuid.UUID  // earlier incarnations, the latest first
	incarnationSince     time.Duration // when the incarnation became known
	machine              *chart.Machine
	generation           uint64 // Picker.generation of the last Update that listed it
	stateBeforeGone      chart.State
	goneAt               time.Duration

	warm                bool          // full weight reached
	rampStart           time.Duration // first answer of a cold upstream; 0 before it
	rampDuration        time.Duration
	weight              float64 // slots() over the mean of the service
	limit               int     // learned concurrency limit; 0 if not reported
	thresholds          []reportedThreshold
	starts              []time.Duration // start times of running attempts in ascending order
	startSum            time.Duration
	connections         int // estimated or reported connections, including idle ones
	connectionsReported bool

	averageLatency time.Duration // moving average of latency
	sampleCount    int
	lastSampleAt   time.Duration
	slow           int // slow attempts minus others, from 0 to slowExcessToEject

	failures      int // consecutive
	lastFailureAt time.Duration
	ejection      ejection
}

func newUpstream(name string, salt uint64) *upstream {
	return &upstream{name: name, salt: salt, machine: upstreamChart.NewMachine(), rampDuration: slowStartTime, weight: 1}
}

// restart resets the upstream for a new incarnation. Attempts sent to the earlier
// one remain counted until they end.
func (u *upstream) restart(t time.Duration, id uuid.UUID) {
	u.machine.Fire(eventRestart)
	copy(u.previousIncarnations[1:], u.previousIncarnations[:])
	u.previousIncarnations[0], u.incarnation, u.incarnationSince = u.incarnation, id, t
	u.warm, u.rampStart, u.rampDuration = false, 0, slowStartTime
	u.limit, u.connections, u.connectionsReported = 0, 0, false
	u.resetMeasurements(0)
	u.ejection = ejection{}
}

// resetMeasurements discards thresholds, latencies and failures. With t other than
// 0 it also resets the start times of running attempts.
func (u *upstream) resetMeasurements(t time.Duration) {
	clear(u.thresholds)
	u.averageLatency, u.sampleCount, u.lastSampleAt, u.slow = 0, 0, 0, 0
	u.failures, u.lastFailureAt = 0, 0
	if t == 0 {
		return
	}
	// The ages of running attempts include the pause and are meaningless. The
	// attempts stay older than t, so that none counts as a probe that starts at t.
	for i := range u.starts {
		u.starts[i] = t - 1
	}
	u.startSum = (t - 1) * time.Duration(len(u.starts))
}

// attemptStarted records the start of an attempt.
func (u *upstream) attemptStarted(t time.Duration) {
	u.starts = append(u.starts, t)
	u.startSum += t
	if !u.connectionsReported && u.connections < len(u.starts) {
		u.connections = len(u.starts)
	}
}

// attemptEnded removes the running attempt whose start time is closest to start and
// returns its start time. It returns false if no attempt is running.
func (u *upstream) attemptEnded(start time.Duration) (time.Duration, bool) {
	n := len(u.starts)
	if n == 0 {
		return 0, false
	}
	i := sort.Search(n, func(i int) bool { return u.starts[i] >= start })
	if i == n || i > 0 && start-u.starts[i-1] < u.starts[i]-start {
		i--
	}
	found := u.starts[i]
	u.starts = append(u.starts[:i], u.starts[i+1:]...)
	u.startSum -= found
	return found, true
}

// inFlight returns the number of running attempts.
func (u *upstream) inFlight() int { return len(u.starts) }

// addSample adds an observed latency to the average. After a time without samples
// the new one has more weight, and the average has moved towards the median.
func (u *upstream) addSample(t, median, latency time.Duration) {
	age := float64(t-u.lastSampleAt) / float64(latencyDecayTime)
	alpha := max(1/float64(u.sampleCount+1), minAlpha, age/(age+4))
	decayed := u.decayedLatency(t, median)
	u.averageLatency = decayed + time.Duration(alpha*float64(latency-decayed))
	u.sampleCount++
	u.lastSampleAt = t
}

// decayedLatency returns the moving average, moved towards the median according to
// the age of the last sample.
func (u *upstream) decayedLatency(t, median time.Duration) time.Duration {
	if u.sampleCount == 0 {
		return median
	}
	age := 1 + float64(t-u.lastSampleAt)/float64(latencyDecayTime)
	return median + time.Duration(float64(u.averageLatency-median)/(age*age))
}

// estimatedLatency returns the decayed average, but at least the mean age of running
// attempts, so that the estimate of an upstream that hangs rises without an answer.
func (u *upstream) estimatedLatency(t, median time.Duration) time.Duration {
	latency := u.decayedLatency(t, median)
	if n := time.Duration(len(u.starts)); n > 0 {
		latency = max(latency, t-u.startSum/n)
	}
	return latency
}

// ramp returns the share of its weight that the upstream has reached.
func (u *upstream) ramp(t time.Duration) float64 {
	if u.warm {
		return 1
	}
	if u.rampStart == 0 {
		return minRamp
	}
	return min(max(float64(t-u.rampStart)/float64(u.rampDuration), minRamp), 1)
}

// cost returns the value by which upstreams are compared: (in-flight + 1) / weight
// times latency, with penalties for a new connection and recent failures. During
// slow start only the in-flight part is divided by the ramp: the ramp already
// reduces how often the upstream is drawn, and an idle cold upstream must be able to
// win against an idle warm one.
func (u *upstream) cost(t, median time.Duration) float64 {
	latency := max(u.estimatedLatency(t, median), time.Microsecond)
	if !u.hasIdleConnection(t) {
		latency += connectPenalty
	}
	c := (float64(len(u.starts))/u.ramp(t) + 1) / u.weight * float64(latency)
	if u.failures > 0 && t-u.lastFailureAt < failurePenaltyTime {
		c *= float64(1 + failurePenalty*u.failures)
	}
	return c
}

func (u *upstream) hasIdleConnection(t time.Duration) bool {
	if !u.connectionsReported && t-u.lastSampleAt > idleConnectionTimeout {
		return false
	}
	return u.connections > len(u.starts)
}

// slots returns the learned concurrency limit, else the published slots, or 0 if
// neither is known.
func (u *upstream) slots() int {
	if u.limit > 0 {
		return u.limit
	}
	return u.config.Slots
}
