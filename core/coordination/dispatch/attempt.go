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

// maxResumes is how often one broken stream is resumed.
const maxResumes = 2

// responseWriter takes the answer of a step.
type responseWriter interface {
	start(h persimmoncross.ResponseHead) error
	write(chunk []byte) error
	// committed reports whether a part went where it can't be taken back.
	committed() bool
}

// errCallerGone means that the caller does not take the answer.
var errCallerGone = errors.New("dispatch: the caller is gone")

// runStep runs one runStep until one attempt succeeds or none may follow.
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
		c := r.addIsolation(routing.PickInfo{
			Version:        version,
			Prompt:         w.Body,
			TriedUpstreams: r.triedUpstreams,
		})
		u := d.Table.Pick(c)
		if u == nil {
			return r.refuse(persimmoncross.CodeNoUpstream, "no engine can take %s now", version).WithRetryAfter(r.retryAfter(c))
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

// callService runs a plain callService's call.
func (r *execution) callService(ctx context.Context) *persimmoncross.Refusal {
	d, w := r.dispatcher, r.request
	for try := range w.maxAttempts() {
		if refusal := r.checkBeforeAttempt(ctx, try); refusal != nil {
			return refusal
		}
		if refusal := d.checkServicePermission(w); refusal != nil {
			return refusal.WithRunStatus(r.runStatus)
		}
		c := r.addIsolation(routing.PickInfo{
			ServiceUpstreams: w.Service.Upstreams,
			TriedUpstreams:   r.triedUpstreams,
		})
		u := d.Table.Pick(c)
		if u == nil {
			return r.refuse(persimmoncross.CodeNoUpstream, "no process of %s can take a call now", w.Service.Name).WithRetryAfter(r.retryAfter(c))
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

// retryAfter returns when a caller should come back for whom there is no upstream.
func (r *execution) retryAfter(c routing.PickInfo) time.Duration {
	wait := r.dispatcher.Table.MinBackoffRemaining(c)
	if wait > 0 {
		r.dispatcher.count("refused.backoff")
	}
	return max(wait, upstreamRetryAfter)
}

// checkBeforeAttempt checks what must hold right before an attempt starts.
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
		if !r.dispatcher.takeRetry() {
			r.dispatcher.count("retry.refused")
			return r.refuse(persimmoncross.CodeUpstreamFailed, "the retry budget is spent").WithRetryAfter(upstreamRetryAfter)
		}
		r.dispatcher.count("retried")
	}
	return nil
}

// checkAfterFailure decides after a failed attempt: nil means that another may follow.
func (r *execution) checkAfterFailure(ctx context.Context, err error, out responseWriter) *persimmoncross.Refusal {
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
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

// refuse returns a refusal with what is known of the request's runs.
func (r *execution) refuse(code persimmoncross.Code, format string, args ...any) *persimmoncross.Refusal {
	return persimmoncross.NewRefusal(code, format, args...).WithRunStatus(r.runStatus)
}

// replaceVersion finds another version when the one chosen may not run any more.
func (r *execution) replaceVersion(ctx context.Context, step, version persimmoncross.ModelVersion) (persimmoncross.ModelVersion, *persimmoncross.Refusal) {
	s := r.dispatcher.Settings()
	pin, replacement, ok := r.dispatcher.choosePin(s, r.request, step)
	if !ok {
		return version, r.dispatcher.noVersionRefusal(r.request, step).WithRunStatus(r.runStatus)
	}
	if pin == nil {
		return replacement, nil
	}
	if s.Withdrawn[version] {
		pin.Moved = version.String()
	}
	return r.dispatcher.commitPin(ctx, r.request, pin)
}

// attempt sends the request to one upstream and passes its answer on.
func (r *execution) attempt(ctx context.Context, u *routing.Upstream, v persimmoncross.ModelVersion, out responseWriter) error {
	d, w := r.dispatcher, r.request
	r.triedUpstreams[u.Name] = true
	r.timeToFirstToken = 0
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
	quarantineRun := r.copy.BeginRun(u.InstanceID(), startedAt)
	response, err := d.UpstreamClient.Begin(ctx, u.Address, a)
	if err == nil {
		quarantineRun.MarkStarted(d.Clock.Now())
		r.runStatus = persimmoncross.Ran
		err = r.copyResponse(ctx, u, a, response, out, startedAt, stallWatchdog)
	} else {
		r.mergeRunStatus(err)
	}
	r.recordForQuarantine(ctx, quarantineRun, u, err)
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

// copyResponse copies the answer's chunks to the writer. A stream that breaks is
// resumed by its engine; another engine's answer never continues it.
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
			r.timeToFirstToken = r.dispatcher.Clock.Now().Sub(startedAt)
			if out.start(head) != nil {
				return errCallerGone
			}
		}
		chunks++
		if out.write(chunk) != nil {
			r.recordPartialUsage(a, u, response.Usage())
			return errCallerGone
		}
	}
	if chunks == 0 && out.start(head) != nil {
		return errCallerGone
	}
	u.RecordDuration(r.dispatcher.Clock.Now().Sub(startedAt))
	r.billingLines = append(r.billingLines, newBillingLine(a, u, response.Usage()))
	r.partialLine = nil
	return nil
}

// recordPartialUsage keeps what was generated, for the bill of a cancelled request.
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

// recordOutcome tells the upstream's history and the version's evidence the outcome.
// A caller who leaves, and a request at fault, say nothing of either.
func (r *execution) recordOutcome(ctx context.Context, u *routing.Upstream, v persimmoncross.ModelVersion, err error) {
	var a *persimmoncross.AttemptError
	ignored := errors.Is(err, errCallerGone) || errors.As(err, &a) && a.ClientFault
	if ignored || err != nil && errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) != errStalled {
		u.Breaker(v).Abandon()
		return
	}
	u.Breaker(v).RecordResult(err != nil)
	if a != nil && a.RetryAfter > 0 {
		r.dispatcher.count("backoff")
		u.SetBackoff(r.dispatcher.Clock.Now().Add(a.RetryAfter))
	}
	if v.Model == "" || a != nil && (a.Overloaded || a.Run == persimmoncross.NotRun) {
		return // the engine's fault, not the version's
	}
	r.dispatcher.RolloutEvidence.Note(v, r.request.Organisation.Name, err != nil, r.timeToFirstToken)
}
