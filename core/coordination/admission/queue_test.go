package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func noUsage(string) float64 { return 0 }

func always(*Request) bool { return true }

// newRequest returns a request with 10 s left.
func newRequest(rank int, organisation string) *Request {
	return &Request{
		Rank:         rank,
		Organisation: organisation,
		Deadline:     start.Add(10 * time.Second),
		Objective:    start.Add(3 * time.Second),
		QueuedAt:     start,
	}
}

// The most urgent request goes next; among equal ones first what was sent before, then the
// organisation that uses least, then the one that can wait least, but last what comes after its
// objective, and after that what hardly ends in time.
func TestOrderOfService(t *testing.T) {
	used := map[string]float64{
		"large": 3,
		"small": 0.5,
	}
	urgent := newRequest(0, "large")
	again := newRequest(1, "large")
	again.Begun = true
	small := newRequest(1, "small")
	short := newRequest(1, "large")
	short.LikelyTime = 5 * time.Second
	long := newRequest(1, "large")
	lateLong := newRequest(1, "small")
	lateLong.Objective = start
	lateShort := newRequest(1, "small")
	lateShort.Objective = start
	lateShort.LikelyTime = 5 * time.Second
	doomed := newRequest(1, "small")
	doomed.LikelyTime = 11 * time.Second
	doomed.Begun = true
	want := []*Request{urgent, again, small, short, long, lateLong, lateShort, doomed}
	q := &Queue{
		Usage: func(o string) float64 { return used[o] },
	}
	for _, i := range []int{4, 7, 5, 2, 0, 6, 3, 1} {
		q.Enqueue(want[i], start)
	}
	for i, w := range want {
		if got := q.Next(start, always); got != w {
			t.Errorf("request %d: got %+v, want %+v", i, got, w)
		}
	}
	if q.Next(start, always) != nil || q.Len() != 0 {
		t.Error("the queue is not empty")
	}
}

// A request that no upstream can begin, for example by its version or region, must not hold up
// those that could begin.
func TestNextPassesRequestsWithoutUpstream(t *testing.T) {
	q := &Queue{
		Usage: noUsage,
	}
	q.Enqueue(newRequest(0, "blocked"), start)
	free := newRequest(2, "free")
	q.Enqueue(free, start)
	if got := q.Next(start, func(r *Request) bool { return r.Organisation == "free" }); got != free {
		t.Errorf("got %+v, want the request that can begin", got)
	}
	if q.Next(start, func(*Request) bool { return false }) != nil || q.Len() != 1 {
		t.Error("a request that can't begin left the queue")
	}
}

// Load: two to three times the capacity, all ranks from all organisations, for a minute. Every rank
// gets its floor, and a rank is never served worse than a less urgent one.
func TestServedByRankUnderOverload(t *testing.T) {
	q := &Queue{
		MaxRequests: 64,
		Usage:       noUsage,
	}
	random := rand.New(rand.NewPCG(1, 2))
	const ranks = 3
	var arrived, served [ranks]int
	now := start
	for step := range 6000 {
		now = now.Add(10 * time.Millisecond)
		for range 1 + random.IntN(2) {
			r := newRequest(random.IntN(ranks), fmt.Sprint("o", random.IntN(5)))
			r.Deadline = now.Add(5 * time.Second)
			r.QueuedAt = now
			arrived[r.Rank]++
			q.Enqueue(r, now)
		}
		q.Expire(now)
		if step%2 != 0 {
			continue
		}
		next := q.Next(now, always)
		if next == nil || !next.Fits(now) {
			t.Fatalf("step %d: dispatched %+v", step, next)
		}
		served[next.Rank]++
	}
	total := served[0] + served[1] + served[2]
	for rank := range ranks {
		if served[rank] < total/(maxPassedOver+2)/2 {
			t.Errorf("rank %d was served %d times of %d dispatches, below half its floor", rank, served[rank], total)
		}
		if rank > 0 && served[rank]*arrived[rank-1] > served[rank-1]*arrived[rank] {
			t.Errorf("rank %d: %d of %d served, rank %d: %d of %d", rank, served[rank], arrived[rank], rank-1, served[rank-1], arrived[rank-1])
		}
	}
}

// Load: one organisation sends six times its usual at a queue that is full. The others' requests
// still find room, and are not the ones pushed out.
func TestFullQueueKeepsOtherOrganisations(t *testing.T) {
	q := &Queue{
		MaxRequests: 32,
		Usage:       noUsage,
	}
	refused := map[string]int{}
	for i := range 120 {
		organisation := "flood"
		if i%6 == 0 {
			organisation = fmt.Sprint("o", i/6%4)
		}
		for _, out := range q.Enqueue(newRequest(1, organisation), start) {
			refused[out.Organisation]++
		}
	}
	if q.Len() != 32 || len(refused) != 1 || refused["flood"] != 88 {
		t.Errorf("%d queued, refused %v, want 32 and the flood's alone", q.Len(), refused)
	}
}

// A full queue: a more urgent request pushes out the least urgent, a less urgent one is refused
// itself, except within the floor of its rank.
func TestPushOut(t *testing.T) {
	tests := []struct {
		name     string
		queued   []int // ranks
		newcomer int
		wantOut  int // rank
	}{
		{"more urgent than the last", []int{0, 1, 1, 2, 2}, 0, 2},
		{"as urgent as all", []int{1, 1, 1, 1, 1}, 1, 1},
		{"less urgent, within its floor", slices.Repeat([]int{0}, 32), 2, 0},
		{"less urgent, beyond its floor", append(slices.Repeat([]int{0}, 30), 2, 2), 2, 2},
	}
	for _, tt := range tests {
		q := &Queue{
			MaxRequests: len(tt.queued),
			Usage:       noUsage,
		}
		for _, rank := range tt.queued {
			q.Enqueue(newRequest(rank, "o"), start)
		}
		out := q.Enqueue(newRequest(tt.newcomer, "o"), start)
		if len(out) != 1 || out[0].Rank != tt.wantOut {
			t.Errorf("%s: pushed out %v, want one of rank %d", tt.name, out, tt.wantOut)
		}
	}
}

// Few large requests must not hold more memory than the bound.
func TestQueueBytesBound(t *testing.T) {
	q := &Queue{
		MaxBytes: 100,
		Usage:    noUsage,
	}
	for rank := range 4 {
		r := newRequest(rank, "o")
		r.Bytes = 40
		out := q.Enqueue(r, start)
		if want := rank >= 2; (len(out) > 0) != want {
			t.Errorf("request %d: pushed out %d", rank, len(out))
		}
	}
	if q.Len() != 2 {
		t.Errorf("%d queued, want 2", q.Len())
	}
}

// A request that can't end in time even if it went next is refused while it is still not run, not
// held until its deadline.
func TestExpire(t *testing.T) {
	q := &Queue{
		Usage: noUsage,
	}
	long := newRequest(0, "o")
	long.RunTime = 8 * time.Second
	q.Enqueue(long, start)
	q.Enqueue(newRequest(0, "o"), start)
	if out := q.Expire(start.Add(1800 * time.Millisecond)); len(out) != 0 {
		t.Errorf("expired %v with time left", out)
	}
	if out := q.Expire(start.Add(2 * time.Second)); len(out) != 1 || out[0] != long {
		t.Errorf("expired %v, want the long request", out)
	}
	if q.Remove(long) {
		t.Error("an expired request was removed again")
	}
	if out := q.Expire(start.Add(10*time.Second - expiryMargin)); len(out) != 1 || q.Len() != 0 {
		t.Errorf("expired %v before the deadline, want the other one", out)
	}
}

// The expected wait follows the recent rate of dispatches and what is ahead of the rank, and is not
// guessed without them.
func TestExpectedWait(t *testing.T) {
	q := &Queue{
		Usage: noUsage,
	}
	if got := q.ExpectedWait(0, start); got != 0 {
		t.Errorf("wait %v in an empty queue", got)
	}
	for range 20 {
		q.Enqueue(newRequest(0, "o"), start)
	}
	for range 19 {
		q.Enqueue(newRequest(1, "o"), start)
	}
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		q.Next(now, always)
	}
	for _, tt := range []struct {
		rank int
		want time.Duration
	}{
		{0, 1100 * time.Millisecond},
		{1, 3 * time.Second},
	} {
		if got := q.ExpectedWait(tt.rank, now); got < tt.want*9/10 || got > tt.want*11/10 {
			t.Errorf("rank %d: wait %v, want about %v", tt.rank, got, tt.want)
		}
	}
}

// Entries that see the same loads all send to the same upstreams. What they send beyond the
// upstreams' own pace must count before the next loads show it.
func TestInflowDelay(t *testing.T) {
	i := Inflow{
		OwnSends:  1,
		Entries:   61,
		Upstreams: 60,
		HoldTime:  2 * time.Second,
		LoadAge:   500 * time.Millisecond,
	}
	if got := i.Delay(64, 0); got != 0 {
		t.Errorf("delay %v at the upstreams' pace, want 0", got)
	}
	i.OwnSends = 32
	if got := i.Delay(64, 0); got != 500*time.Millisecond {
		t.Errorf("delay %v after a wave, want 500ms", got)
	}
	if got := i.Delay(64, 40); got != 0 {
		t.Errorf("delay %v of a wave that fits into the free slots, want 0", got)
	}
	i.Entries = 1
	if got := i.Delay(64, 0); got != 0 {
		t.Errorf("delay %v of a single entry, want 0", got)
	}
}
