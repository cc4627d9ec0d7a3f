package vm

import (
	"context"
	"strings"
	"time"

	"persimmoncross/core/coordination/consensus"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/record"
	"persimmoncross/io/transport/engine"
)

// Times of the sweeper.
const (
	sweepEvery  = time.Second
	sweepAfter  = time.Minute      // a resend may take a dead owner's claim over before
	sweepSilent = 15 * time.Minute // an owner not heard of for so long is dead
	sweepWait   = 2 * time.Second  // for one upstream's record
)

// sweepLoop settles, at the ledger's leader, the claims whose owners died. The
// upstreams' own records tell whether the request ran; if one shows a whole
// run, that is billed, else the claim is void.
func (v *VM) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(sweepEvery):
		}
		if v.bills.View().Role != consensus.Leader {
			continue
		}
		for _, r := range v.ledger.Open(time.Unix(0, v.presence.stamp()), v.sweepAge()) {
			if v.dead(r) {
				v.sweep(ctx, r)
			}
		}
	}
}

func (v *VM) sweepAge() time.Duration {
	if v.SweepAfter == 0 {
		return sweepAfter
	}
	return v.SweepAfter
}

// dead reports whether the owner's process is gone: its VM runs another one
// now, or has been silent for very long.
func (v *VM) dead(r *record.Request) bool {
	name, incarnation, _ := strings.Cut(r.GetOwner(), "#")
	status, age := v.presence.latest(name)
	if status != nil && age < presenceTrust {
		return status.GetIncarnation() != incarnation
	}
	return v.presence.stamp()-r.GetOpened() > int64(sweepSilent)
}

func (v *VM) sweep(ctx context.Context, r *record.Request) {
	lines, known := v.recordOf(ctx, r.GetRequest())
	if !known {
		return // an upstream does not answer: try again
	}
	outcome := ledger.Void
	if len(lines) > 0 {
		outcome = ledger.Swept
	}
	c := &record.Command{
		Settle: &record.Settle{
			Organisation: r.GetOrganisation(),
			Key:          r.GetKey(),
			Owner:        r.GetOwner(),
			Lines:        lines,
			Outcome:      outcome,
			Time:         v.presence.stamp(),
		},
	}
	ctx, cancel := context.WithTimeout(ctx, sweepWait)
	defer cancel()
	if _, err := v.claims.Propose(ctx, record.Encode(c)); err != nil {
		return
	}
	v.count("swept." + outcome)
	v.Log.Warn().Str("request", r.GetRequest()).Str("organisation", r.GetOrganisation()).Str("owner", r.GetOwner()).Str("outcome", outcome).Msg("settled for a dead owner")
}

// recordOf asks every upstream for whole runs of the request. It returns false
// if one that has reported lately does not answer.
func (v *VM) recordOf(ctx context.Context, request string) (lines []*record.Line, known bool) {
	for _, u := range v.table.List() {
		bounded, cancel := context.WithTimeout(ctx, sweepWait)
		runs, err := v.client.Runs(bounded, u.Address, request)
		cancel()
		if err != nil && u.HasRecentReport() {
			return nil, false
		}
		for _, n := range runs {
			if n.Ended == ledger.Whole {
				lines = append(lines, lineOf(u.Name, n))
			}
		}
	}
	return lines, true
}

func lineOf(upstream string, n engine.Run) *record.Line {
	return &record.Line{
		Attempt:  n.Attempt,
		Version:  n.Version,
		Input:    n.Input,
		Output:   n.Output,
		Upstream: upstream,
	}
}
