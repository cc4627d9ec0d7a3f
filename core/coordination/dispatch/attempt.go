package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/core/state/record"
)

// maxResumes limits how many times one attempt's interrupted stream is resumed.
const maxResumes = 2

// responseWriter receives the response of a cascade step.
type responseWriter interface {
	start(h persimmoncross.ResponseHead) error
	write(chunk []byte) error
	// committed reports whether a part of the response can no longer be taken back.
	committed() bool
}

// errResponseRejected means that the responseWriter has rejected a part of the response, because the
// caller has disconnected or because a buffered answer has become too large.
var errResponseRejected = errors.New("dispatch: the caller has disconnected")

// runStep runs one step of a cascade, or the only step, until an attempt succeeds or no
// further attempt is allowed.
func (r *execution) runStep(ctx context.Context, step, version persimmoncross.ModelVersion, out responseWriter) *persimmoncross.Refusal {
	d, w := r.dispatcher, r.request
	for try := range w.maxAttempts() {
		s := d.Settings()
		if refusal := r.checkBeforeAttempt(ctx, try); refusal != nil {
			return refusal
		}
		if !s.May(w.Organisation.Name, version) {
			moved, refusal := r.replaceVersion(ctx, step, version)
			if refusal != nil {
				return refusal
			}
			version = moved
		}
		info := r.addIsolation(routing.PickInfo{
			Version:        version,
			Prompt:         w.Body,
			TriedUpstreams: r.triedUpstreams,
		})
		u := r.pick(info)
		if u == nil {
			return r.refuse(persimmoncross.CodeNoUpstream, "no engine can take %s now", version).WithRetryAfter(r.retryAfter(info))
		}
		err := r.attempt(ctx, u, version, out)
		if err == nil {
			return nil
		}
		if refusal := r.checkAfterFailure(ctx, err, out); refusal != nil {
			return refusal
		}
	}
	return r.refuse(persimmoncross.CodeUpstreamFailed, "every attempt failed").WithRetryAfter(upstreamRetryAfter)
}

// callService sends the request to a plain service until an attempt succeeds or no further
// attempt is allowed.
func (r *execution) callService(ctx context.Context) *persimmoncross.Refusal {
	d, w := r.dispatcher, r.request
	for try := range w.maxAttempts() {
		if refusal := r.checkBeforeAttempt(ctx, try); refusal != nil {
			return refusal
		}
		if refusal := d.checkServicePermission(w); refusal != nil {
			return refusal.WithRunStatus(r.runStatus)
		}
		info := r.addIsolation(routing.PickInfo{
			ServiceUpstreams: w.Service.Upstreams,
			TriedUpstreams:   r.triedUpstreams,
		})
		u := r.pick(info)
		if u == nil {
			return r.refuse(persimmoncross.CodeNoUpstream, "no process of %s can take a call now", w.Service.Name).WithRetryAfter(r.retryAfter(info))
		}
		err := r.attempt(ctx, u, persimmoncross.ModelVersion{}, r)
		if err == nil {
			return nil
		}
		if refusal := r.checkAfterFailure(ctx, err, r); refusal != nil {
			return refusal
		}
	}
	return r.refuse(persimmoncross.CodeUpstreamFailed, "every attempt failed").WithRetryAfter(upstreamRetryAfter)
}

// retryAfter returns the delay after which a caller may retry when no upstream is available.
func (r *execution) retryAfter(info routing.PickInfo) time.Duration {
	wait := r.dispatcher.Table.MinBackoffRemaining(info)
	if wait > 0 {
		r.dispatcher.count("refused.backoff")
	}
	return max(wait, upstreamRetryAfter)
}

// checkBeforeAttempt checks the conditions for an attempt immediately before it starts.
func (r *execution) checkBeforeAttempt(ctx context.Context, try int) *persimmoncross.Refusal {
	if ctx.Err() != nil {
		return r.refuse(persimmoncross.CodeDeadlineExceeded, "the time is up")
	}
	if refusal := r.dispatcher.Admitter.CheckLease(); refusal != nil {
		return refusal.WithRunStatus(r.runStatus)
	}
	if refusal := r.checkQuarantine(); refusal != nil {
		return refusal
	}
	if try > 0 {
		if !r.takeRetry() {
			r.dispatcher.count("retry.refused")
			return r.refuse(persimmoncross.CodeUpstreamFailed, "the retry budget is spent").WithRetryAfter(upstreamRetryAfter)
		}
		r.dispatcher.count("retried")
	}
	return nil
}

// checkAfterFailure returns the refusal that follows a failed attempt, or nil if another
// attempt is allowed.
func (r *execution) checkAfterFailure(ctx context.Context, err error, out responseWriter) *persimmoncross.Refusal {
	if errors.Is(err, errResponseRejected) || ctx.Err() != nil {
		return r.refuse(persimmoncross.CodeDeadlineExceeded, "the time is up, or the caller is gone")
	}
	var a *persimmoncross.AttemptError
	if !errors.As(err, &a) {
		a = &persimmoncross.AttemptError{
			Reason: "internal",
			Run:    persimmoncross.RunUnknown,
			Detail: err.Error(),
		}
	}
	r.dispatcher.count("retry.reason." + a.Reason)
	switch {
	case out.committed():
		return r.refuse(persimmoncross.CodeUpstreamFailed, "the answer broke off: %s", a.Reason)
	case a.ClientFault:
		return r.refuse(persimmoncross.CodeBodyMalformed, "the engine refused the request: %s", a.Detail)
	case r.request.AtMostOnce && a.Run != persimmoncross.NotRun:
		return r.refuse(persimmoncross.CodeOutcomeUnknown, "the attempt failed (%s) and may not be repeated", a.Reason)
	}
	return nil
}

// refuse returns a refusal with the request's run status.
func (r *execution) refuse(code persimmoncross.Code, format string, args ...any) *persimmoncross.Refusal {
	return persimmoncross.NewRefusal(code, format, args...).WithRunStatus(r.runStatus)
}

// replaceVersion chooses another version when the chosen one is no longer permitted.
func (r *execution) replaceVersion(ctx context.Context, step, version persimmoncross.ModelVersion) (persimmoncross.ModelVersion, *persimmoncross.Refusal) {
	s := r.dispatcher.Settings()
	pinCommand, replacement, ok := r.dispatcher.choosePin(s, r.request, step)
	if !ok {
		return version, r.dispatcher.noVersionRefusal(r.request, step).WithRunStatus(r.runStatus)
	}
	if pinCommand == nil {
		return replacement, nil
	}
	if s.Withdrawn[version] {
		pinCommand.Moved = version.String()
	}
	return r.dispatcher.commitPin(ctx, r.request, pinCommand)
}

// attempt sends the request to one upstream and forwards the response.
func (r *execution) attempt(ctx context.Context, u *routing.Upstream, v persimmoncross.ModelVersion, out responseWriter) error {
	d, w := r.dispatcher, r.request
	r.triedUpstreams[u.Name] = true
	a := r.newAttempt(u, v)
	startedAt := d.Clock.Now()
	endAttempt := u.BeginAttempt(startedAt, v, w.Body)
	defer endAttempt()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallWatchdog := r.startWatchdog(ctx, cancel)
	defer stallWatchdog.stop()
	d.count("attempts")
	d.Log.Debug().Str("request", w.ID).Str("attempt", a.ID).Str("upstream", u.Name).Str("organisation", a.Organisation).Str("version", v.String()).Uint64("revision", d.Settings().Revision).Msg("attempt")
	quarantineRun := r.quarantineRequest.BeginRun(u.InstanceID(), startedAt)
	arrived := r.beginAttempt()
	response, err := d.UpstreamClient.Send(ctx, u.Address, a)
	arrived()
	status := 0
	if err == nil {
		status = response.Head().Status
		quarantineRun.MarkStarted(d.Clock.Now())
		r.runStatus = persimmoncross.Ran
		err = r.copyResponse(ctx, u, a, response, out, startedAt, stallWatchdog)
	} else {
		r.mergeRunStatus(err)
	}
	r.recordForQuarantine(ctx, quarantineRun, u, status, err)
	r.recordOutcome(ctx, u, v, err)
	return err
}

func (r *execution) newAttempt(u *routing.Upstream, v persimmoncross.ModelVersion) persimmoncross.Attempt {
	w := r.request
	return persimmoncross.Attempt{
		ID:             r.newAttemptID(),
		RequestID:      w.ID,
		IdempotencyKey: w.IdempotencyKey,
		Organisation:   w.Organisation.Name,
		Version:        v,
		Priority:       w.Organisation.Priority,
		Stream:         w.Stream,
		OmitsAttemptID: u.OmitsAttemptID(),
		AtMostOnce:     w.AtMostOnce,
		Method:         w.Method,
		Path:           w.Path,
		Header:         w.Header,
		Body:           w.Body,
	}
}

func (r *execution) mergeRunStatus(err error) {
	var a *persimmoncross.AttemptError
	if errors.As(err, &a) {
		r.runStatus = strongerRunStatus(r.runStatus, a.Run)
		return
	}
	r.runStatus = strongerRunStatus(r.runStatus, persimmoncross.RunUnknown)
}

// copyResponse copies the response's chunks to the writer. An interrupted stream is resumed
// at the same engine; a response from another engine never continues it.
func (r *execution) copyResponse(ctx context.Context, u *routing.Upstream, a persimmoncross.Attempt, response persimmoncross.Response, out responseWriter, startedAt time.Time, stallWatchdog *watchdog) error {
	defer func() { response.Close() }()
	head := response.Head()
	head.Version = a.Version
	head.AttemptID = a.ID
	chunks, resumes := 0, 0
	for {
		chunk, err := response.NextChunk()
		stallWatchdog.recordActivity()
		if err == io.EOF {
			break
		}
		if err != nil {
			r.recordPartialUsage(a, u, response.Usage())
			if resumes >= maxResumes || !a.Stream || ctx.Err() != nil {
				return err
			}
			resumes++
			resumed, failed := r.dispatcher.UpstreamClient.Resume(ctx, u.Address, a, chunks)
			if failed != nil {
				return err
			}
			r.dispatcher.count("resumed")
			response.Close()
			response = resumed
			continue
		}
		if chunks == 0 {
			if a.Version.Model != "" {
				r.dispatcher.RolloutEvidence.RecordFirstToken(a.Version, a.Organisation, r.dispatcher.Clock.Now().Sub(startedAt))
			}
			if out.start(head) != nil {
				return errResponseRejected
			}
		}
		chunks++
		if out.write(chunk) != nil {
			r.recordPartialUsage(a, u, response.Usage())
			return errResponseRejected
		}
	}
	if chunks == 0 && out.start(head) != nil {
		return errResponseRejected
	}
	u.RecordDuration(r.dispatcher.Clock.Now().Sub(startedAt))
	r.billingLines = append(r.billingLines, newBillingLine(a, u, response.Usage()))
	r.partialLine = nil
	return nil
}

// recordPartialUsage keeps the usage so far, for billing if the request is cancelled.
func (r *execution) recordPartialUsage(a persimmoncross.Attempt, u *routing.Upstream, usage persimmoncross.Usage) {
	r.partialLine = newBillingLine(a, u, usage)
}

func newBillingLine(a persimmoncross.Attempt, u *routing.Upstream, usage persimmoncross.Usage) *record.Line {
	version := a.Version.String()
	if a.Version.Model == "" {
		version = u.Name
	}
	return &record.Line{
		Attempt:  a.ID,
		Version:  version,
		Input:    usage.Input,
		Output:   usage.Output,
		Upstream: u.Name,
	}
}

// recordOutcome records the attempt's outcome in the upstream's circuit breaker and in the
// version's rollout evidence. An attempt that the caller cancelled, or whose request was
// invalid, says nothing about either.
func (r *execution) recordOutcome(ctx context.Context, u *routing.Upstream, v persimmoncross.ModelVersion, err error) {
	var a *persimmoncross.AttemptError
	ignored := errors.Is(err, errResponseRejected) || errors.As(err, &a) && a.ClientFault
	if ignored || err != nil && errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) != errStalled {
		u.Breaker(v).AbandonProbe()
		return
	}
	u.Breaker(v).RecordOutcome(err != nil)
	if a != nil && a.RetryAfter > 0 {
		r.dispatcher.count("backoff")
		u.SetBackoff(r.dispatcher.Clock.Now().Add(a.RetryAfter))
	}
	if v.Model == "" || a != nil && (a.Overloaded || a.Run == persimmoncross.NotRun) {
		return // a plain service has no version, and the other two are faults of the engine
	}
	r.dispatcher.RolloutEvidence.RecordRun(v, r.request.Organisation.Name, err != nil)
}
