package relay

import (
	"context"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// watchEvery is the pause between two looks at an attempt whose upstream sends
// nothing.
const watchEvery = 150 * time.Millisecond

// watch ends an attempt whose upstream has fallen silent.
type watch struct {
	began time.Time    // of the attempt
	ended atomic.Bool  // the answer came, or the watch ended the attempt
	late  atomic.Bool  // the watch did
	begun atomic.Bool  // the head has come
	last  atomic.Int64 // nanoseconds since began at which bytes of this answer came
	done  chan struct{}
}

// stop ends the watch and reports whether it has ended the attempt.
func (w *watch) stop() bool {
	if w.ended.CompareAndSwap(false, true) {
		close(w.done)
	}
	return w.late.Load()
}

// head notes that the head came.
func (w *watch) head(now time.Time) {
	w.seen(now)
	w.begun.Store(true)
}

// seen notes that bytes of the answer came.
func (w *watch) seen(now time.Time) { w.last.Store(int64(now.Sub(w.began))) }

// watchAttempt starts the watch of an attempt, where the passage may be sent to
// another upstream.
func (t *trip) watchAttempt(ctx context.Context, cancel context.CancelFunc, target *Target) *watch {
	r := t.relay
	w := &watch{
		began: r.Clock.Now(),
		done:  make(chan struct{}),
	}
	if t.route.Repeat == persimmoncross.RepeatNever || t.runs+1 >= t.maxRuns() || t.sends >= maxSends {
		return w
	}
	s := outlier.Silence{
		Expected:  t.begins(),
		Objective: t.objective(),
		Pause:     t.route.Pause,
	}
	go func() {
		for {
			select {
			case <-w.done:
				return
			case <-ctx.Done():
				return
			case <-r.Clock.After(watchEvery):
			}
			// The retry is taken first: an answer is not broken off where no other
			// attempt may be made.
			if w.silent(target, s, r.Clock.Now()) && r.mayRetry(t.service) {
				w.end(cancel)
				return
			}
		}
	}()
	return w
}

// end ends the attempt, unless its answer has come.
func (w *watch) end(cancel context.CancelFunc) {
	if w.ended.CompareAndSwap(false, true) {
		w.late.Store(true)
		cancel()
	}
}

// silent reports whether the attempt is to be ended. s holds what is known of the
// passage.
func (w *watch) silent(target *Target, s outlier.Silence, now time.Time) bool {
	s.Begun = w.begun.Load()
	s.Streams = int(target.flowing.Load())
	s.Usual = target.longestPause(now)
	s.Reading = target.reading(now)
	s.Doubted = target.doubtedByOthers(now)
	limit, ok := s.Limit()
	since := w.began.Add(time.Duration(w.last.Load()))
	return ok && now.Sub(since) >= limit && !target.heardSince(now.Add(-limit))
}

// silent takes an attempt that was ended because its upstream fell silent. It may
// have run.
func (t *trip) silent(target *Target, w *watch, took time.Duration) verdict {
	if !w.begun.Load() {
		t.runs++
	}
	t.paid = true
	t.note(target, true)
	target.doubt(t.relay.Clock.Now())
	t.last = &persimmoncross.AttemptError{
		Reason: "silent",
		Run:    persimmoncross.Unknown,
	}
	t.line().Str("upstream", target.Incarnation).Dur("took", took).Str("event", t.lastEvent).Int("send", t.sends).Msg("upstream is silent")
	return verdictAgain
}
