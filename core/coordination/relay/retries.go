package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/retry"
)

const (
	// arrivalDelay is how long an attempt at an upstream that answers others may take to arrive, with the time to
	// connect. Bytes that are received within it may have left the upstream before the attempt arrived.
	arrivalDelay = 1200 * time.Millisecond
	// maxArrivalDelay is the longest time for which a retry stays reserved for an attempt at an upstream that
	// sends nothing, so that one which stays silent does not use up the budget for good.
	maxArrivalDelay = 30 * time.Second
	// resolveInterval is the interval between two looks at the attempts that may still arrive.
	resolveInterval = 20 * time.Millisecond
	// minimumHold is for how long, in half windows, the retries count that another process or a lost entry has used:
	// a window, and the time in which they arrive.
	minimumHold = 3
)

// sentAttempt is an attempt of which it is not known whether it has arrived at its target.
type sentAttempt struct {
	attempts *retry.Attempts // of its request
	target   *Target
	sentAt   time.Time
	resolved bool
}

// sentAttempts are those of one service.
type sentAttempts struct {
	all        []*sentAttempt
	resolvedAt time.Time
}

// resolve records the arrival of the attempts that have arrived by now or never will: their targets have sent something
// since, or are gone.
func (s *sentAttempts) resolve(now time.Time) {
	if since := now.Sub(s.resolvedAt); since >= 0 && since < resolveInterval {
		return
	}
	s.resolvedAt = now
	unresolved := s.all[:0]
	for _, a := range s.all {
		if a.resolved || a.attempts.Done() {
			continue
		}
		if a.target.sentSince(a.sentAt.Add(arrivalDelay)) || a.target.removed.Load() || now.Sub(a.sentAt) > maxArrivalDelay {
			a.resolved = true
			a.attempts.Arrived(now)
			continue
		}
		unresolved = append(unresolved, a)
	}
	clear(s.all[len(unresolved):])
	s.all = unresolved
}

// sentAttemptsOf returns the service's attempts. The caller holds mu.
func (r *Relay) sentAttemptsOf(service string) *sentAttempts {
	if r.sentAttempts == nil {
		r.sentAttempts = map[string]*sentAttempts{}
	}
	s := r.sentAttempts[service]
	if s == nil {
		s = &sentAttempts{}
		r.sentAttempts[service] = s
	}
	return s
}

// countRequest adds a request to the service's retry budget.
func (r *Relay) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownLoad.recordArrived(service)
	if r.requestTotals == nil {
		r.requestTotals = map[string]uint64{}
	}
	r.requestTotals[service]++
	r.retryBudget(service).RecordRequest(r.Config.RetryBudgetRatio, r.Clock.Now())
}

// RetryCount is what entries have counted of one service's requests.
type RetryCount struct {
	Requests uint64
	Retries  uint64 // that have arrived at upstreams
	Reserved uint32 // retries that were taken and may still arrive
}

// RetryCounts returns what this entry has counted since its start, by service, with the services that have had no requests:
// the first counts of a service are compared with none.
func (r *Relay) RetryCounts() map[string]RetryCount {
	counts := map[string]RetryCount{}
	if v := r.View(); v != nil {
		for service := range v.Targets {
			counts[service] = RetryCount{}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, n := range r.requestTotals {
		b := r.retryBudget(service)
		counts[service] = RetryCount{
			Requests: n,
			Retries:  b.Settled(),
			Reserved: uint32(max(b.Reserved(), 0)),
		}
	}
	return counts
}

// RecordFleetRetries adds what all entries together have counted since the last call to the service's retry budget.
func (r *Relay) RecordFleetRetries(service string, c RetryCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	metrics.GetOrRegisterCounter("relay.fleet-requests."+service, r.Metrics).Inc(int64(c.Requests))
	metrics.GetOrRegisterCounter("relay.fleet-retries."+service, r.Metrics).Inc(int64(c.Retries))
	r.retryBudget(service).RecordFleet(float64(c.Requests)*r.Config.RetryBudgetRatio, float64(c.Retries), float64(c.Reserved), r.Clock.Now())
}

// retryBudgetLeft returns the fraction of the service's retry budget that is left in the window,
// 0 if less than one retry is left.
func (r *Relay) retryBudgetLeft(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).LeftFraction(r.Clock.Now())
}

// retryBudget returns the service's retry budget as of now. The caller holds mu.
func (r *Relay) retryBudget(service string) *retry.Budget {
	if r.retryBudgets == nil {
		r.retryBudgets = map[string]*retry.Budget{}
	}
	b := r.retryBudgets[service]
	if b == nil {
		b = &retry.Budget{
			Window: r.Config.RetryBudgetWindow,
		}
		r.retryBudgets[service] = b
	}
	now := r.Clock.Now()
	b.BaseAllowance, b.Share = retryMinimumFactor*r.Config.RetryBudgetMinimum, r.minimumShare(now)
	if b.BaseHeld = b.Share == 0; b.BaseHeld {
		b.Share = 1 / float64(max(r.minimumEntries, r.View().entryCountOrDefault()))
	}
	r.sentAttemptsOf(service).resolve(now)
	return b
}

// minimumShare returns the share of Config.RetryBudgetMinimum that this entry may use. It is 0 for a while after the start,
// because an earlier process of this entry may have used its share, and the others may divide by a smaller number of
// entries; and 0 while their number is not known. The caller holds mu.
func (r *Relay) minimumShare(now time.Time) float64 {
	hold := r.Config.RetryBudgetWindow * minimumHold / 2
	entries := 0
	if v := r.View(); v != nil {
		entries = v.EntryCount
	}
	if entries >= r.minimumEntries || now.Sub(r.minimumEntriesSeen) >= hold {
		r.minimumEntries = entries
		r.minimumEntriesSeen = now
	}
	if r.minimumEntries == 0 || now.Sub(r.StartedAt) < hold {
		return 0
	}
	return 1 / float64(r.minimumEntries)
}

// requestRetries are the attempts of one request and the retries that they use. Another goroutine than the request's may
// take one.
type requestRetries struct {
	relay    *Relay
	request  *persimmoncross.ProxyRequest
	service  string
	attempts retry.Attempts // guarded by relay.mu
}

// requestRetries returns the retries of the call's request.
func (c *call) requestRetries() *requestRetries {
	if c.retries == nil {
		c.retries = &requestRetries{
			relay:   c.relay,
			request: c.request,
			service: c.service,
		}
	}
	return c.retries
}

// retryCause returns why the request is sent again.
func (c *call) retryCause() string {
	if c.lastError == nil {
		return ""
	}
	return c.lastError.Reason
}

// take takes the retry for another attempt, unless it was taken before or none is needed, and reports false if none is
// left. cause is why the request is sent again.
func (q *requestRetries) take(cause string) bool {
	r := q.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !q.attempts.NeedsRetry() {
		return true
	}
	now, b := r.Clock.Now(), r.retryBudget(q.service)
	q.attempts.Budget = b
	if !q.attempts.TakeRetry(now) {
		return false
	}
	left, limit := b.Remaining(now), b.Limit(now)
	metrics.GetOrRegisterGauge("relay.retry-budget.left."+q.service, r.Metrics).Update(int64(left))
	metrics.GetOrRegisterGauge("relay.retry-budget.limit."+q.service, r.Metrics).Update(int64(limit))
	during, before, used, untold, told := b.Fleet(now)
	r.logEvent(q.request).Str("cause", cause).Dur("age", now.Sub(q.request.ArrivedAt)).Float64("left", left).Float64("limit", limit).
		Bool("told", told).Float64("during", during).Float64("before", before).Float64("used", used).Float64("untold", untold).
		Float64("minimum", b.BaseAllowance).Int("reserved", b.Reserved()).Msg("retry taken")
	return true
}

// send records an attempt that is sent to the target.
func (q *requestRetries) send(target *Target, now time.Time) *sentAttempt {
	r := q.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &sentAttempt{
		attempts: &q.attempts,
		target:   target,
		sentAt:   now,
	}
	q.attempts.Send()
	sent := r.sentAttemptsOf(q.service)
	sent.all = append(sent.all, a)
	return a
}

// received records that the target has begun a response to the attempt, or what its failure says.
func (q *requestRetries) received(a *sentAttempt, err error, now time.Time) {
	q.relay.mu.Lock()
	defer q.relay.mu.Unlock()
	switch {
	case a.resolved:
		return
	case err == nil:
		q.attempts.Arrived(now)
	case mayHaveReachedUpstream(err):
		return // it may still arrive
	default:
		q.attempts.NotSent()
	}
	a.resolved = true
}

// end records that the request is not sent again.
func (q *requestRetries) end() {
	q.relay.mu.Lock()
	defer q.relay.mu.Unlock()
	q.attempts.End()
}
