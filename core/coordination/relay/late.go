package relay

import (
	"context"
	"sync/atomic"
	"time"

	"persimmoncross"
)

// Of the time after which an upstream that has given no answer, and has sent
// nothing to anybody here since it was asked, is taken for silent. One that
// still sends is only busy: its queue is not left, to be joined again elsewhere
// at the end.
const (
	headFactor    = 4.0 // times the mean
	headObjective = 0.4 // of the route's objective at least
)

// headLimit ends an attempt that gives no head in time.
type headLimit struct {
	ended atomic.Bool // the head came, or the limit did
	late  atomic.Bool
	done  chan struct{}
}

// stop ends the limit and reports whether it has ended the attempt.
func (h *headLimit) stop() bool {
	if h.ended.CompareAndSwap(false, true) {
		close(h.done)
	}
	return h.late.Load()
}

// limitHead starts the limit of an attempt, where the passage may be sent to
// another upstream and there is one that is not known to be silent too.
func (t *trip) limitHead(ctx context.Context, cancel context.CancelFunc, target *Target) *headLimit {
	h := &headLimit{
		done: make(chan struct{}),
	}
	if t.route.Repeat == persimmoncross.RepeatNever || t.runs+1 >= t.maxRuns() || t.sends >= maxSends {
		return h
	}
	r := t.relay
	mean := r.Pressure.estimate(t.service, t.modelName(), t.passage.PromptTokens, r.Clock.Now())
	limit := max(time.Duration(headFactor*float64(mean)), time.Duration(headObjective*float64(t.objective())))
	go func() {
		began := r.Clock.Now()
		for {
			select {
			case <-h.done:
				return
			case <-ctx.Done():
				return
			case <-r.Clock.After(limit):
			}
			if target.heardSince(began) {
				began = r.Clock.Now()
				continue
			}
			if h.ended.CompareAndSwap(false, true) {
				h.late.Store(true)
				cancel()
			}
			return
		}
	}()
	return h
}

// silent takes an attempt that was ended because no head came. It may have run.
func (t *trip) silent(target *Target, took time.Duration) verdict {
	t.runs++
	t.note(target, true)
	target.doubt(t.relay.Clock.Now())
	t.last = &persimmoncross.AttemptError{
		Reason: "silent",
		Run:    persimmoncross.Unknown,
	}
	t.relay.line(t.passage).Str("upstream", target.Incarnation).Dur("took", took).Int("send", t.sends).Msg("upstream is silent")
	return verdictAgain
}
