// Package adaptivelimit bounds the rate at which a process reads requests, by the delays that it observes: of its own work,
// which grow when its processor is short, and of connections that it opens, which grow when its link is full. Nothing is
// limited before such a delay was seen. Requests beyond the limit are not read, so that what is read is served in time. The
// package has no I/O, no locks and no clock.
package adaptivelimit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Parameters of a limit.
const (
	// evaluationInterval is the shortest time over which delays are judged, and maxEvaluationInterval the longest: fewer
	// than minSamples delays in it tell nothing.
	evaluationInterval    = 50 * time.Millisecond
	maxEvaluationInterval = time.Second
	minSamples            = 8
	// MaxDelay is what a delay may be over the least one. A request passes the processor and the link several times, and
	// its objective has to bear that many such delays.
	MaxDelay = 30 * time.Millisecond
	// A decrease is by the root of the ratio of MaxDelay to the delay, within these bounds. The next one follows once the backlog that
	// caused it is gone.
	minDecrease = 0.5
	maxDecrease = 0.85
	// maxBacklog bounds for how long nothing is read so that a backlog goes.
	maxBacklog = time.Second
	// calmExcess is the part of MaxDelay up to which a delay shows that the rate of that time can be carried. What was
	// carried is halved in carriedTime, and in congestedTime while delays are over the maximum. While no limit is in force,
	// delays at a rate up to that have another cause, such as a lossy link or peers that answer late, and limit nothing.
	calmExcess    = 0.5
	carriedTime   = time.Minute
	congestedTime = 5 * time.Second
	// minRate keeps enough requests coming for delays to be observed, per second.
	minRate = 10
	// increasePerSecond is the factor by which a limit that is reached grows in a second without a delay over the maximum.
	increasePerSecond = 2
	// unreachedTime is how long a limit stays in force that is not reached.
	unreachedTime = 2 * time.Second
	// burstTime is the time whose requests may come at once under a limit, of minBurst requests at least.
	burstTime = 40 * time.Millisecond
	minBurst  = 4
	// maxDebt is the time that requests beyond the limit may take. Their bytes have come already, so that leaving them unread
	// saves less than leaving the next ones.
	maxDebt = 250 * time.Millisecond
	// rateTime is the time over which the rate of requests is measured.
	rateTime = 500 * time.Millisecond
	// maxAddresses bounds the addresses whose least delays are kept, of some 100 bytes each.
	maxAddresses = 8192
)

// Limit is the limit of one process. The zero value limits nothing.
type Limit struct {
	work, link  signal
	workBase    base
	linkBases   map[netip.AddrPort]*base // by the address of the connections
	connecting  map[*Connecting]bool
	peerDelay   time.Duration
	evaluatedAt time.Time
	requests    map[*Request]bool // in work

	rate       float64 // requests per second; 0: no limit is in force
	tokens     float64 // requests that may be read now
	refilledAt time.Time
	reachedAt  time.Time
	decreaseAt time.Time // no decrease before it

	carried       float64 // requests per second that were read without a delay
	measured      float64 // requests read per second
	measuredSince time.Time
	read          int // requests read since measuredSince
}

// Request is a request in work. The zero value is one that was not begun.
type Request struct {
	begunAt time.Time // zero: not in work
	since   time.Time // since when the process works on it; zero: it waits for others
	spent   time.Duration
}

// signal is a kind of delay, each over the least one that was seen.
type signal struct {
	samples []time.Duration
	median  time.Duration // of the last evaluation
}

// Count counts a request that is read.
func (l *Limit) Count(now time.Time) {
	l.refill(now)
	l.tokens--
	l.read++
	elapsed := now.Sub(l.measuredSince)
	if elapsed < rateTime {
		return
	}
	l.measured = float64(l.read) / elapsed.Seconds()
	if elapsed > 2*rateTime {
		l.measured = 0 // an idle time tells nothing of what can be served
	}
	l.read = 0
	l.measuredSince = now
}

// HasRoom reports whether requests may come.
func (l *Limit) HasRoom(now time.Time) bool { return l.room(now) > 0 }

// HasBurst reports whether requests may come again after there was no room. A listener that is closed resets the connections
// that are just being made, so that it is closed at most once in burstTime.
func (l *Limit) HasBurst(now time.Time) bool { return l.room(now) >= l.burst() }

// IsExceeded reports whether a request that has come already must not be read: so many have come that they take longer
// than maxDebt.
func (l *Limit) IsExceeded(now time.Time) bool { return l.room(now) < -l.rate*maxDebt.Seconds() }

// burst returns how many requests may come at once.
func (l *Limit) burst() float64 { return max(l.rate*burstTime.Seconds(), minBurst) }

// room returns how many requests may be read now. It is negative if more were read than the limit allows.
func (l *Limit) room(now time.Time) float64 {
	l.evaluate(now)
	if l.rate == 0 {
		return math.Inf(1)
	}
	l.refill(now)
	if l.tokens <= 0 {
		l.reachedAt = now
	}
	return l.tokens
}

// currentRate returns the rate at which requests were read lately.
func (l *Limit) currentRate(now time.Time) float64 {
	rate := l.measured
	if elapsed := now.Sub(l.measuredSince); elapsed >= evaluationInterval && elapsed <= 2*rateTime {
		rate = max(rate, float64(l.read)/elapsed.Seconds())
	}
	return rate
}

func (l *Limit) refill(now time.Time) {
	if l.rate == 0 {
		l.tokens = 0
		return
	}
	l.tokens += l.rate * now.Sub(l.refilledAt).Seconds()
	l.tokens = min(l.tokens, l.burst())
	l.refilledAt = now
}

// Begin records that the process begins to work on a request.
func (l *Limit) Begin(q *Request, now time.Time) {
	*q = Request{
		begunAt: now,
		since:   now,
	}
	if l.requests == nil {
		l.requests = map[*Request]bool{}
	}
	l.requests[q] = true
}

// Pause records that the request waits for its caller or for an upstream.
func (l *Limit) Pause(q *Request, now time.Time) {
	if !q.since.IsZero() {
		q.spent += now.Sub(q.since)
		q.since = time.Time{}
	}
}

// Resume records that the process works on the request again.
func (l *Limit) Resume(q *Request, now time.Time) {
	if !q.begunAt.IsZero() && q.since.IsZero() {
		q.since = now
	}
}

// End records that the request was handed to an upstream, or has ended. More calls do nothing.
func (l *Limit) End(q *Request, now time.Time) {
	if q.begunAt.IsZero() {
		return
	}
	l.Pause(q, now)
	l.work.samples = append(l.work.samples, l.workBase.excess(q.spent, now))
	l.remove(q)
	l.evaluate(now)
}

// Abandon removes a request that tells nothing, since its caller sent no more of it.
func (l *Limit) Abandon(q *Request) { l.remove(q) }

func (l *Limit) remove(q *Request) {
	delete(l.requests, q)
	q.begunAt = time.Time{}
	q.since = time.Time{}
}

// Connecting is a connection that is being opened.
type Connecting struct {
	address netip.AddrPort
	since   time.Time
}

// Connect records that a connection to the address is being opened.
func (l *Limit) Connect(address netip.AddrPort, now time.Time) *Connecting {
	c := &Connecting{
		address: address,
		since:   now,
	}
	if l.connecting == nil {
		l.connecting = map[*Connecting]bool{}
	}
	l.connecting[c] = true
	return c
}

// Connected records that the connection was opened.
func (l *Limit) Connected(c *Connecting, now time.Time) {
	delete(l.connecting, c)
	b := l.linkBases[c.address]
	if b == nil {
		if l.linkBases == nil || len(l.linkBases) >= maxAddresses {
			l.linkBases = map[netip.AddrPort]*base{}
		}
		b = &base{}
		l.linkBases[c.address] = b
	}
	if excess := b.excess(now.Sub(c.since), now); b.known {
		l.link.samples = append(l.link.samples, excess)
	}
	b.known = true
	l.evaluate(now)
}

// ConnectFailed records that the connection was not opened.
func (l *Limit) ConnectFailed(c *Connecting, now time.Time) {
	delete(l.connecting, c)
	if l.peerDelay > MaxDelay && now.Sub(c.since) > MaxDelay {
		l.link.samples = append(l.link.samples, now.Sub(c.since))
	}
	l.evaluate(now)
}

// IsConnectingLate reports whether a connection that is being opened takes longer than MaxDelay.
func (l *Limit) IsConnectingLate(now time.Time) bool {
	for c := range l.connecting {
		if now.Sub(c.since) > MaxDelay {
			return true
		}
	}
	return false
}

// SetPeerDelay records by how much a round trip to a peer that is no upstream exceeds the least one, now. Connections that
// are not opened tell of the link only if that peer is heard late as well.
func (l *Limit) SetPeerDelay(d time.Duration) { l.peerDelay = d }

// InForce reports whether a limit is in force.
func (l *Limit) InForce() bool { return l.rate > 0 }

// State is what a limit has observed and decided.
type State struct {
	Rate                 float64 // requests per second; 0: no limit is in force
	Measured             float64 // requests read per second
	InWork               int
	WorkDelay, LinkDelay time.Duration // medians over the least ones
}

// State returns the state.
func (l *Limit) State(now time.Time) State {
	return State{
		Rate:      l.rate,
		Measured:  l.currentRate(now),
		InWork:    len(l.requests),
		WorkDelay: l.work.median,
		LinkDelay: l.link.median,
	}
}

// evaluate adapts the limit to the delays since the last evaluation.
func (l *Limit) evaluate(now time.Time) {
	elapsed := now.Sub(l.evaluatedAt)
	if elapsed < evaluationInterval {
		return
	}
	// Requests that are late already belong to the sample before they end, since those that ended are the quick ones.
	work := l.work.samples
	for q := range l.requests {
		if q.since.IsZero() {
			continue
		}
		if late := q.spent + now.Sub(q.since) - l.workBase.least(); late > MaxDelay {
			work = append(work, late)
		}
	}
	link := l.link.samples
	for c := range l.connecting {
		if late := now.Sub(c.since); l.peerDelay > MaxDelay && late > MaxDelay {
			link = append(link, late)
		}
	}
	if len(work) < minSamples && len(link) < minSamples && elapsed < maxEvaluationInterval {
		return
	}
	l.evaluatedAt = now
	excess := max(l.work.judge(work), l.link.judge(link))
	halfLife := carriedTime
	if excess > 1 {
		halfLife = congestedTime
	}
	l.carried *= math.Exp2(-min(elapsed, maxEvaluationInterval).Seconds() / halfLife.Seconds())
	if excess <= calmExcess {
		l.carried = max(l.carried, l.currentRate(now))
	}
	switch {
	case excess > 1:
		l.decrease(excess, now)
	case l.rate > 0 && now.Sub(l.reachedAt) > unreachedTime:
		l.rate = 0
	case l.rate > 0 && now.Sub(l.reachedAt) <= elapsed:
		l.rate *= math.Pow(increasePerSecond, elapsed.Seconds())
	}
}

// decrease lowers the rate by the factor by which the delay exceeds the maximum, and has nothing read until the backlog is
// gone.
func (l *Limit) decrease(excess float64, now time.Time) {
	if now.Before(l.decreaseAt) || l.rate == 0 && l.currentRate(now) <= l.carried {
		return
	}
	from := l.rate
	if from == 0 {
		from = l.currentRate(now)
	}
	l.refill(now)
	l.rate = max(from*min(max(1/math.Sqrt(excess), minDecrease), maxDecrease), minRate)
	backlog := min(max(l.work.median, l.link.median), maxBacklog)
	l.tokens = min(l.tokens, -l.rate*backlog.Seconds())
	l.refilledAt = now
	l.reachedAt = now
	l.decreaseAt = now.Add(backlog + 2*evaluationInterval)
}

// judge returns by which factor the median of the samples exceeds what a delay may be, and drops them. It returns 0 if
// they are too few.
func (s *signal) judge(samples []time.Duration) float64 {
	s.samples = s.samples[:0]
	s.median = 0
	if len(samples) < minSamples {
		return 0
	}
	slices.Sort(samples)
	s.median = samples[len(samples)/2]
	return float64(s.median) / float64(MaxDelay)
}
