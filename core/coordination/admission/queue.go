// Package admission decides which of the requests that can't begin now is served next, which
// are refused, and how long a request may expect to wait. It has no network, no locks and no
// clock.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the order of service.
const (
	// maxPassedOver is how often the next less urgent waiting rank is passed over before one of
	// its requests goes next, so that no rank starves: it keeps 1 of 16 dispatches. The rank
	// after that is passed over twice as often, and so on, so that none is served better than a
	// more urgent one.
	maxPassedOver = 15
	// rankFloorFraction is the part of the queue from which no other rank pushes requests out.
	rankFloorFraction = 1.0 / 16
)

// expiryMargin is the time before the last possible start at which a request is refused. It
// covers the period between two checks and the way of the refusal to the caller.
const expiryMargin = 150 * time.Millisecond

// Request is a request that waits. It must not be modified while it is queued.
type Request struct {
	Rank         int  // 0 is the most urgent
	Begun        bool // the request was sent before; it goes before others of its rank
	Organisation string
	Bytes        int64 // memory that the request holds
	Deadline     time.Time
	// RunTime is a favourable estimate of the time from the start at an upstream to the end of
	// the answer; 0 if nothing is known.
	RunTime time.Duration
	// LikelyTime is the time within which most such requests end; 0 if nothing is known.
	LikelyTime time.Duration
	// Objective is when the answer should begin.
	Objective time.Time
	QueuedAt  time.Time

	queued bool
}

// Fits reports whether the request would end in time if it began now.
func (r *Request) Fits(now time.Time) bool {
	return now.Add(r.RunTime + expiryMargin).Before(r.Deadline)
}

// slack returns the time for which the request can still wait and likely end in time.
func (r *Request) slack(now time.Time) time.Duration { return r.Deadline.Sub(now) - r.LikelyTime }

// Queue holds the requests of one service that wait at an entry. The exported fields are set
// before use.
type Queue struct {
	MaxRequests int   // 0 means no limit
	MaxBytes    int64 // 0 means no limit
	// Usage returns what the organisation uses of the service, as a multiple of its fair share.
	Usage func(organisation string) float64

	requests   []*Request
	bytes      int64
	passedOver map[int]float64 // by rank: weighted dispatches of more urgent requests while the rank waited
	rate       dispatchRate
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.requests) }

// OldestWait returns how long the request waits that was queued first.
func (q *Queue) OldestWait(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, r := range q.requests {
		oldest = max(oldest, now.Sub(r.QueuedAt))
	}
	return oldest
}

// Waiting returns the number of queued requests of each rank, and of each organisation.
func (q *Queue) Waiting() (byRank map[int]int, byOrganisation map[string]int) {
	byRank, byOrganisation = map[int]int{}, map[string]int{}
	for _, r := range q.requests {
		byRank[r.Rank]++
		byOrganisation[r.Organisation]++
	}
	return byRank, byOrganisation
}

// Enqueue adds a request. It returns the requests that have no room in the queue then, which may
// include r itself. They were not run and are refused at once.
func (q *Queue) Enqueue(r *Request, now time.Time) (pushedOut []*Request) {
	if len(q.requests) == 0 {
		q.rate.start(now)
	}
	r.queued = true
	q.requests = append(q.requests, r)
	q.bytes += r.Bytes
	for q.isOverfull() {
		victim := q.victim(now)
		q.Remove(victim)
		pushedOut = append(pushedOut, victim)
	}
	return pushedOut
}

func (q *Queue) isOverfull() bool {
	return q.MaxRequests > 0 && len(q.requests) > q.MaxRequests || q.MaxBytes > 0 && q.bytes > q.MaxBytes
}

// victim returns the request to push out. It belongs to the least urgent rank that holds more
// than its floor, and there to the organisation that uses and awaits most. Of that one's
// requests it is the one with the most time left, since its caller can still come back.
func (q *Queue) victim(now time.Time) *Request {
	byRank, byOrganisation := q.Waiting()
	rank := q.victimRank(byRank)
	var victim *Request
	for _, r := range q.requests {
		if r.Rank == rank && (victim == nil || q.leavesBefore(r, victim, byOrganisation, now)) {
			victim = r
		}
	}
	return victim
}

// victimRank returns the least urgent rank that holds more than its floor.
func (q *Queue) victimRank(byRank map[int]int) int {
	floor := int(rankFloorFraction * float64(q.MaxRequests))
	last, lastAboveFloor := math.MinInt, math.MinInt
	for rank, n := range byRank {
		last = max(last, rank)
		if n > floor {
			lastAboveFloor = max(lastAboveFloor, rank)
		}
	}
	if lastAboveFloor == math.MinInt {
		return last
	}
	return lastAboveFloor
}

func (q *Queue) leavesBefore(a, b *Request, waiting map[string]int, now time.Time) bool {
	if a.Begun != b.Begun {
		return b.Begun
	}
	loadA := q.Usage(a.Organisation) + float64(waiting[a.Organisation])
	loadB := q.Usage(b.Organisation) + float64(waiting[b.Organisation])
	if loadA != loadB {
		return loadA > loadB
	}
	return a.slack(now) > b.slack(now)
}

// Remove removes a request that is no longer to be served, for example because its caller
// disconnected. It reports whether the request was queued.
func (q *Queue) Remove(r *Request) bool {
	if !r.queued {
		return false
	}
	for i, queued := range q.requests {
		if queued == r {
			q.requests = append(q.requests[:i], q.requests[i+1:]...)
			break
		}
	}
	r.queued = false
	q.bytes -= r.Bytes
	if len(q.requests) == 0 {
		q.rate.stop()
		clear(q.passedOver)
	}
	return true
}

// Expire removes and returns the requests that can't end in time even if they went next.
func (q *Queue) Expire(now time.Time) []*Request {
	var expired []*Request
	for _, r := range q.requests {
		if !r.Fits(now) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		q.Remove(r)
	}
	return expired
}

// Next removes and returns the request to serve next among those that canBegin accepts, nil if
// there is none.
func (q *Queue) Next(now time.Time, canBegin func(r *Request) bool) *Request {
	var next *Request
	for _, r := range q.requests {
		if (next == nil || q.goesBefore(r, next, now)) && canBegin(r) {
			next = r
		}
	}
	if next == nil {
		return nil
	}
	q.countPassedOver(next)
	q.Remove(next)
	if len(q.requests) > 0 {
		q.rate.record(now)
	}
	return next
}

// Prospects of a request, best first. The order by slack alone would serve those first that are about
// to fail, so that capacity goes into answers that end too late.
const (
	inAim  = iota // it can begin by its objective and likely ends in time
	late          // it likely ends in time
	doomed        // it hardly ends in time
)

func (r *Request) prospect(now time.Time) int {
	switch {
	case r.slack(now) <= 0:
		return doomed
	case now.Before(r.Objective):
		return inAim
	}
	return late
}

// goesBefore reports whether a is served before b: by rank, unless one's rank was passed over too
// often; then requests that were sent before, unless they hardly end in time; then by prospect; then
// the organisation that uses least; then of requests in their aim the one that can wait least, else
// the one that most likely ends in time.
func (q *Queue) goesBefore(a, b *Request, now time.Time) bool {
	if dueA, dueB := q.isDue(a.Rank), q.isDue(b.Rank); dueA != dueB {
		return dueA
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	prospectA, prospectB := a.prospect(now), b.prospect(now)
	if (prospectA == doomed) != (prospectB == doomed) {
		return prospectB == doomed
	}
	if a.Begun != b.Begun {
		return a.Begun
	}
	if prospectA != prospectB {
		return prospectA < prospectB
	}
	if usageA, usageB := q.Usage(a.Organisation), q.Usage(b.Organisation); usageA != usageB {
		return usageA < usageB
	}
	if prospectA == inAim {
		return a.slack(now) < b.slack(now)
	}
	return a.slack(now) > b.slack(now)
}

// isDue reports whether the rank was passed over so often that it goes next.
func (q *Queue) isDue(rank int) bool { return q.passedOver[rank] >= maxPassedOver }

// countPassedOver counts the dispatch of a request for the less urgent ranks that wait.
func (q *Queue) countPassedOver(next *Request) {
	if q.passedOver == nil {
		q.passedOver = map[int]float64{}
	}
	byRank, _ := q.Waiting()
	lessUrgent := 0
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		if rank > next.Rank {
			lessUrgent++
			q.passedOver[rank] += 1 / float64(lessUrgent)
		}
	}
	q.passedOver[next.Rank] = 0
}

// ExpectedWait estimates how long a request of the rank that is queued now waits, from the number
// of requests ahead of it and the recent rate of dispatches. It returns 0 if that rate is not
// known.
func (q *Queue) ExpectedWait(rank int, now time.Time) time.Duration {
	rate := q.rate.perSecond(now)
	if rate <= 0 {
		return 0
	}
	ahead := 0
	for _, r := range q.requests {
		if r.Rank <= rank {
			ahead++
		}
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}
