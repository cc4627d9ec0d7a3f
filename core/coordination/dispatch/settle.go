package dispatch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/record"
)

// Times to come back that refusals name.
const (
	ledgerRetryAfter     = 2 * time.Second // an election
	ledgerFullRetryAfter = time.Minute
	upstreamRetryAfter   = time.Second
	maxLateSettlements   = 4096 // requests to be closed late
)

// proposeCommand commits a ledger proposeCommand and returns the ledger's verdict.
func (d *Dispatcher) proposeCommand(ctx context.Context, c *record.Command) (*record.Verdict, *persimmoncross.Refusal) {
	raw, err := d.Ledger.Propose(ctx, record.Encode(c))
	if err != nil {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeLedgerUnavailable, "the ledger does not answer: %v", err).WithRetryAfter(ledgerRetryAfter)
	}
	v := &record.Verdict{}
	if err := proto.Unmarshal(raw, v); err != nil {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeLedgerUnavailable, "the ledger's answer can't be decoded").WithRetryAfter(ledgerRetryAfter)
	}
	return v, nil
}

func (d *Dispatcher) claim(ctx context.Context, w *Request, p *record.Pin, deadOwner string) (*record.Verdict, *persimmoncross.Refusal) {
	return d.proposeCommand(ctx, &record.Command{
		Claim: &record.Claim{
			Organisation: w.Organisation.Name,
			Key:          w.ledgerKey(),
			Digest:       w.idempotencyDigest(),
			Owner:        d.Owner,
			Once:         w.AtMostOnce,
			Time:         d.FleetTime(),
			Pin:          p,
			Dead:         deadOwner,
			Request:      w.ID,
		},
	})
}

// settle commits the request's end. It outlives the caller and the deadline,
// within a grace.
func (d *Dispatcher) settle(ctx context.Context, r *execution, outcome string) *persimmoncross.Refusal {
	deadline := r.request.Deadline.Add(settleGracePeriod)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	settlement := r.settlement(outcome)
	v, refusal := d.proposeCommand(ctx, &record.Command{
		Settle: settlement,
	})
	if refusal != nil {
		d.enqueueLateSettlement(r)
		return refusal.WithRunStatus(r.runStatus)
	}
	// The sweeper may have settled it, if this process was taken for dead.
	settledBySweeper := outcome == ledger.Whole && v.GetOutcome() == ledger.Swept
	if v.GetState() != record.State_SETTLED || v.GetOutcome() != outcome && !settledBySweeper {
		d.count("settle.stale")
		return persimmoncross.NewRefusal(persimmoncross.CodeAnswerLost, "another entry has taken the request over").WithRunStatus(persimmoncross.Ran)
	}
	d.count("settled." + outcome)
	return nil
}

func (r *execution) settlement(outcome string) *record.Settle {
	settlement := &record.Settle{
		Organisation: r.request.Organisation.Name,
		Key:          r.request.ledgerKey(),
		Owner:        r.dispatcher.Owner,
		Lines:        r.billingLines,
		Outcome:      outcome,
		Time:         r.dispatcher.FleetTime(),
		Pins:         r.pins,
	}
	if outcome == ledger.Whole && r.request.IdempotencyKey != "" && r.storedAnswer != nil {
		settlement.Answer = record.Encode(r.storedAnswer)
	}
	return settlement
}

// enqueueLateSettlement leaves a request whose caller has had its final answer, without
// the ledger's, to be closed as failed once the ledger answers again: else its
// claim would stand for as long as this process lives.
func (d *Dispatcher) enqueueLateSettlement(r *execution) {
	outcome := ledger.Failed
	if r.runStatus == persimmoncross.NotRun {
		outcome = ledger.NotRun
	}
	select {
	case d.lateSettlements <- r.settlement(outcome):
	default:
		d.count("settle.refused.ringfull")
	}
}

// RunLateSettlements closes what settleLate left, until the context ends.
func (d *Dispatcher) RunLateSettlements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case settlement := <-d.lateSettlements:
			command := &record.Command{
				Settle: settlement,
			}
			for ctx.Err() == nil {
				if _, refusal := d.proposeCommand(ctx, command); refusal == nil {
					d.count("settled.late")
					break
				}
				select {
				case <-ctx.Done():
				case <-d.Clock.After(upstreamRetryAfter):
				}
			}
		}
	}
}

func ledgerFullRefusal() *persimmoncross.Refusal {
	return persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "the ledger's tables are full").WithRetryAfter(ledgerFullRetryAfter)
}
