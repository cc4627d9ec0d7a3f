package admission

import (
	"testing"
	"time"
)

// Load: 40 entries send twice what 10 upstreams begin, each by its own window and without news of
// the others; then half of what they begin. Under overload the upstreams' queue must stay near the
// bound and their capacity in use; afterwards nothing may be held.
func TestWindowsBoundUpstreamQueue(t *testing.T) {
	const entries, perStep = 40, 4 // begun per 10 ms, of all upstreams
	windows := make([]Window, entries)
	type sent struct {
		entry int
		at    time.Time
	}
	var queue []sent
	waiting := make([]int, entries) // at the entries
	begun, longWaits, heldAtEnd := 0, 0, 0
	now := start
	for step := range 6000 {
		now = now.Add(10 * time.Millisecond)
		arrivals := 2 * perStep
		if step >= 4000 {
			arrivals = perStep / 2
		}
		for i := range arrivals {
			waiting[(step*arrivals+i)%entries] = min(waiting[(step*arrivals+i)%entries]+1, 20)
		}
		for e := range windows {
			for waiting[e] > 0 && windows[e].Open() {
				waiting[e]--
				windows[e].Send()
				queue = append(queue, sent{
					entry: e,
					at:    now.Add(-10 * time.Millisecond),
				})
			}
		}
		for range min(perStep, len(queue)) {
			s := queue[0]
			queue = queue[1:]
			windows[s.entry].End(Begun{
				SentAt:   s.at,
				Received: true,
				Waiting:  len(queue) / 10,
			}, now)
			if step >= 1000 && step < 4000 {
				begun++
				if now.Sub(s.at) > 3*maxBeginDelay {
					longWaits++
				}
			}
		}
		if step >= 5000 {
			for _, n := range waiting {
				heldAtEnd += n
			}
		}
	}
	if begun < 3000*perStep*95/100 {
		t.Errorf("%d begun under overload of %d that could", begun, 3000*perStep)
	}
	if longWaits > begun/20 {
		t.Errorf("%d of %d waited at an upstream for more than three times the bound", longWaits, begun)
	}
	if heldAtEnd > 0 {
		t.Errorf("requests were held (%d steps) though the upstreams had room", heldAtEnd)
	}
}

// Slow answers of upstreams where nothing waits, and attempts that end without a head there because the
// upstream is gone, must not hold requests back.
func TestWindowIgnoresSlowAnswersWithoutQueue(t *testing.T) {
	w := &Window{}
	for range 100 {
		w.Send()
		w.End(Begun{
			SentAt:   start,
			Received: true,
		}, start.Add(3*time.Second))
		w.Send()
		w.End(Begun{
			SentAt: start,
		}, start.Add(3*time.Second))
	}
	if w.Limit() != 0 || !w.Open() {
		t.Errorf("limit %.1f without a queue", w.Limit())
	}
}
