package dispatch_test

import (
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/rollout"
)

// A slow run ends last: a stage must not be judged by the first tokens of the runs that have ended.
func TestFirstTokenCountsWhileRunGoesOn(t *testing.T) {
	e := newEnv(t)
	collector := e.dispatcher.RolloutEvidence.(*rollout.Collector)
	candidate := persimmoncross.ModelVersion{Model: "small", Name: "1"}
	baseline := persimmoncross.ModelVersion{Model: "small", Name: "2"}
	collector.SetPlans(map[persimmoncross.ModelVersion]rollout.Plan{
		candidate: {
			Baseline:    baseline,
			StageBudget: 10,
		},
	})
	for range 100 {
		recordRun(collector, baseline, time.Nanosecond) // shorter than that of any real run
	}
	slow := uint64(0) // when the first chunk arrives
	s := &fakeSink{}
	s.onWrite = func() {
		if len(s.chunks) == 1 {
			slow = collector.Tallies()[rollout.TallyKey{
				Version:      candidate,
				Organisation: "relay",
			}].SlowerPairs
		}
	}
	e.dispatcher.Serve(t.Context(), e.chatRequest("small", 20), s)
	if len(s.chunks) < 2 || slow != 1 {
		t.Errorf("%d slow first tokens after the first of %d chunks, want 1", slow, len(s.chunks))
	}
}

func recordRun(c *rollout.Collector, v persimmoncross.ModelVersion, first time.Duration) {
	c.RecordFirstToken(v, "relay", first)
	c.RecordRun(v, "relay", false)
}
