package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/retry"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/record"
)

// Limits of joining a request that another entry runs. If the join still fails after
// maxJoinRetries retries, joinRetryInterval apart, the other entry's process is considered
// dead. The retries together take longer than a settings lease, so by then the other process
// can no longer send a request to an upstream.
const (
	maxJoinRetries    = 12
	joinRetryInterval = 250 * time.Millisecond
)

// execution is the state of one request from its claim to its settlement.
type execution struct {
	dispatcher        *Dispatcher
	request           *Request
	sink              persimmoncross.ResponseSink
	runStatus         persimmoncross.RunStatus
	attemptCount      int
	triedUpstreams    map[string]bool
	billingLines      []*record.Line
	pins              []*record.Pin
	storedAnswer      *record.Answer // nil if the answer is too large or the request has no idempotency key
	answerBytes       int
	responseStarted   bool // a part of the answer was sent to the sink
	partialLine       *record.Line
	alreadyRated      bool                         // a cascade has rated the answer
	ratingSample      *ratingRequest               // nil unless the answer is to be rated
	claimResult       chan *persimmoncross.Refusal // result of the claim made by claimAsync
	quarantineRequest quarantine.Request
	attempts          retry.Attempts // guarded by dispatcher.mu
}

// execute claims, runs and settles the request.
func (d *Dispatcher) execute(ctx context.Context, w *Request, sink persimmoncross.ResponseSink) {
	r := &execution{
		dispatcher:     d,
		request:        w,
		sink:           sink,
		runStatus:      persimmoncross.NotRun,
		triedUpstreams: map[string]bool{},
		storedAnswer:   &record.Answer{},
		quarantineRequest: quarantine.Request{
			Digest:   w.quarantineDigest(),
			Parts:    quarantine.PartDigests(w.TargetName, w.PartIDs),
			Service:  w.TargetName,
			Recorder: d.QuarantineRecorder,
		},
	}
	defer func() { r.quarantineRequest.Done(r.runStatus != persimmoncross.NotRun) }()
	defer r.endAttempts()
	if refusal := r.checkQuarantine(); refusal != nil {
		sink.End(refusal) // the request is not claimed yet, so there is nothing to settle
		return
	}
	claimed, refusal := r.prepare(ctx)
	if refusal != nil || claimed == nil {
		if refusal != nil {
			sink.End(refusal)
		}
		return
	}
	refusal = claimed.runSteps(ctx)
	r.close(ctx, refusal)
}

// claimedExecution is an execution whose request is claimed, with the steps to run.
type claimedExecution struct {
	execution    *execution
	steps        []persimmoncross.ModelVersion
	firstStep    int                         // index of the step to start with
	firstVersion persimmoncross.ModelVersion // version for that step
}

// prepare claims the request. A nil result without a refusal means that the sink has already
// received its answer, either one stored in the ledger or that of another entry's run.
func (r *execution) prepare(ctx context.Context) (*claimedExecution, *persimmoncross.Refusal) {
	d, w := r.dispatcher, r.request
	claimed := &claimedExecution{
		execution: r,
	}
	var pin *record.Pin
	if w.Service == nil {
		s := d.Settings()
		steps, refusal := d.permittedSteps(s, w)
		if refusal != nil {
			return nil, refusal
		}
		var ok bool
		claimed.steps = steps
		claimed.firstStep = d.chooseFirstStep(s, w, steps)
		if pin, claimed.firstVersion, ok = d.choosePin(s, w, steps[claimed.firstStep]); !ok {
			return nil, d.noVersionRefusal(w, steps[claimed.firstStep])
		}
	}
	if w.IdempotencyKey == "" && !w.AtMostOnce && pin == nil {
		r.claimAsync(ctx)
		return claimed, nil
	}
	v, refusal := r.claimOrReplay(ctx, pin)
	if v == nil || refusal != nil {
		return nil, refusal
	}
	if pin != nil {
		version, refusal := d.resolvePin(ctx, w, pin, v.GetVersion())
		if refusal != nil {
			d.settle(ctx, r, ledger.NotRun)
			return nil, refusal
		}
		claimed.firstVersion = version
		r.pins = append(r.pins, pin)
	}
	return claimed, nil
}

// claimAsync claims the request while its first attempt runs. The request has no idempotency
// key, so nobody else can have claimed it.
func (r *execution) claimAsync(ctx context.Context) {
	r.claimResult = make(chan *persimmoncross.Refusal, 1)
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithDeadline(ctx, r.request.Deadline.Add(settleGracePeriod))
		defer cancel()
		v, refusal := r.dispatcher.claim(ctx, r.request, nil, "")
		if refusal == nil && v.GetState() != record.State_NEW {
			refusal = ledgerFullRefusal()
		}
		r.claimResult <- refusal
	}()
}

// claimOrReplay claims the request. If the request has been claimed before, claimOrReplay
// sends the existing answer to the sink and returns nil, or returns a refusal.
func (r *execution) claimOrReplay(ctx context.Context, pin *record.Pin) (*record.Verdict, *persimmoncross.Refusal) {
	deadOwner := ""
	for try := 0; ; try++ {
		verdict, refusal := r.dispatcher.claim(ctx, r.request, pin, deadOwner)
		if refusal != nil {
			return nil, refusal
		}
		switch verdict.GetState() {
		case record.State_NEW:
			return verdict, nil
		case record.State_SETTLED:
			return nil, r.replayAnswer(verdict)
		case record.State_REUSED:
			return nil, persimmoncross.NewRefusal(persimmoncross.CodeKeyReused, "the key was used for another request")
		case record.State_LOST:
			return nil, persimmoncross.NewRefusal(persimmoncross.CodeOutcomeUnknown, "the entry that ran the request is gone; it will not be run again").WithRunStatus(persimmoncross.RunUnknown)
		case record.State_RUNNING:
		default:
			return nil, ledgerFullRefusal()
		}
		owner := verdict.GetOwner()
		if r.dispatcher.Joiner.Join(ctx, owner, r.request.Organisation.Name, r.request.IdempotencyKey, r.sink) == nil {
			r.dispatcher.count("joined")
			return nil, nil
		}
		if try >= maxJoinRetries {
			deadOwner = owner
		}
		select {
		case <-r.dispatcher.Clock.After(joinRetryInterval):
		case <-ctx.Done():
			return nil, persimmoncross.NewRefusal(persimmoncross.CodeDeadlineExceeded, "another entry runs the request and did not answer in time").WithRunStatus(persimmoncross.RunUnknown)
		}
	}
}

// replayAnswer sends the answer stored in the ledger to the sink.
func (r *execution) replayAnswer(v *record.Verdict) *persimmoncross.Refusal {
	if v.GetOutcome() != ledger.Whole {
		return persimmoncross.NewRefusal(persimmoncross.CodeOutcomeUnknown, "the request ended as %q and may not run again", v.GetOutcome()).WithRunStatus(persimmoncross.Ran)
	}
	a := &record.Answer{}
	if len(v.GetAnswer()) == 0 || proto.Unmarshal(v.GetAnswer(), a) != nil {
		return responseLostRefusal()
	}
	r.dispatcher.count("replayed")
	head := persimmoncross.ResponseHead{
		Status:      int(a.GetStatus()),
		ContentType: a.GetType(),
		RequestID:   a.GetRequest(),
		Stream:      a.GetStream(),
	}
	if a.GetVersion() != "" {
		head.Version = persimmoncross.ParseModelVersion(a.GetVersion())
	}
	if r.sink.Start(head) != nil {
		return nil
	}
	for _, c := range a.GetChunks() {
		if r.sink.Write(c) != nil {
			return nil
		}
	}
	r.sink.End(nil)
	return nil
}

// runSteps runs the request to a plain service, the cascade or the only step.
func (o *claimedExecution) runSteps(ctx context.Context) *persimmoncross.Refusal {
	if o.execution.request.Service != nil {
		return o.execution.callService(ctx)
	}
	if len(o.steps) > 1 {
		return o.runCascade(ctx)
	}
	return o.execution.runStep(ctx, o.steps[0], o.firstVersion, o.execution)
}

// close settles the request and only then sends the end of the answer.
func (r *execution) close(ctx context.Context, refusal *persimmoncross.Refusal) {
	if r.claimResult != nil {
		if failed := <-r.claimResult; failed != nil && refusal == nil {
			r.dispatcher.enqueueLateSettlement(r)
			r.sink.End(failed.WithRunStatus(r.runStatus))
			return
		}
	}
	outcome := ledger.Whole
	switch {
	case refusal == nil:
	case r.runStatus == persimmoncross.NotRun:
		outcome = ledger.NotRun
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		outcome = ledger.Cancelled
	default:
		outcome = ledger.Failed
	}
	if outcome == ledger.Cancelled && r.partialLine != nil {
		r.billingLines = append(r.billingLines, r.partialLine)
	}
	if outcome == ledger.Whole {
		r.enqueueSample()
	}
	failed := r.dispatcher.settle(ctx, r, outcome)
	if refusal == nil {
		refusal = failed
	}
	r.sink.End(refusal)
}

// The methods below implement responseWriter for the step whose answer is sent to the caller.

func (r *execution) start(h persimmoncross.ResponseHead) error {
	r.responseStarted = true
	r.startSampling(h.Version)
	h.RequestID = r.request.ID
	if r.storedAnswer != nil {
		r.storedAnswer.Status = int32(h.Status)
		r.storedAnswer.Type = h.ContentType
		r.storedAnswer.Version = h.Version.String()
		r.storedAnswer.Request = h.RequestID
		r.storedAnswer.Stream = h.Stream
	}
	return r.sink.Start(h)
}

func (r *execution) write(chunk []byte) error {
	r.answerBytes += len(chunk)
	r.sampleChunk(chunk)
	if r.answerBytes > ledger.MaxAnswer || r.request.IdempotencyKey == "" {
		r.storedAnswer = nil
	}
	if r.storedAnswer != nil {
		r.storedAnswer.Chunks = append(r.storedAnswer.Chunks, chunk)
	}
	return r.sink.Write(chunk)
}

func (r *execution) committed() bool { return r.responseStarted }

// newAttemptID returns a unique ID: the request's ID is unique, and its attempts are
// numbered.
func (r *execution) newAttemptID() string {
	r.attemptCount++
	return fmt.Sprintf("%s-%d", r.request.ID, r.attemptCount)
}
