package dispatch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/record"
)

// Delays of the Retry-After header in refusals, and the size of the queue of late settlements.
const (
	ledgerRetryAfter     = 2 * time.Second // the duration of an election
	ledgerFullRetryAfter = time.Minute
	upstreamRetryAfter   = time.Second
	maxLateSettlements   = 4096 // requests waiting for a late settlement
)

// proposeCommand commits a command to the ledger and returns the ledger's verdict.
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

// settle commits the outcome of the request. It continues after the caller has disconnected,
// and up to settleGracePeriod past the deadline.
func (d *Dispatcher) settle(ctx context.Context, r *execution, outcome string) *persimmoncross.Refusal {
	deadline := r.request.Deadline.Add(settleGracePeriod)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	settlement := r.settlement(outcome)
	verdict, refusal := d.proposeCommand(ctx, &record.Command{
		Settle: settlement,
	})
	if refusal != nil {
		d.enqueueLateSettlement(r)
		return refusal.WithRunStatus(r.runStatus)
	}
	// The sweeper may have settled the request if it considered this process dead.
	settledBySweeper := outcome == ledger.Whole && verdict.GetOutcome() == ledger.Swept
	if verdict.GetState() != record.State_SETTLED || verdict.GetOutcome() != outcome && !settledBySweeper {
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

// enqueueLateSettlement queues the settlement of a request whose caller gets its final
// response although the ledger did not commit the settlement. RunLateSettlements
// settles the request as failed or as not run once the ledger is available again; otherwise
// the claim would remain until this process exits.
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

// RunLateSettlements commits the settlements queued by enqueueLateSettlement until the
// context ends.
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
