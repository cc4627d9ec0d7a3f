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

// writer takes the answer of a step.
type writer interface {
	start(h persimmoncross.Head) error
	write(chunk []byte) error
	// committed reports whether a part went where it can't be taken back.
	committed() bool
}

// errCaller means that the caller does not take the answer.
var errCaller = errors.New("dispatch: the caller is gone")

// step runs one step until one attempt succeeds or none may follow.
func (r *run) step(ctx context.Context, step, version persimmoncross.Version, out writer) *persimmoncross.Refusal {
	d, w := r.dispatcher, r.work
	for try := range w.attempts() {
		s := d.Settings()
		if refusal := r.mayTry(ctx, try); refusal != nil {
			return refusal
		}
		if !s.May(w.Organisation.Name, version) {
			moved, refusal := r.moveOff(ctx, step, version)
			if refusal != nil {
				return refusal
			}
			version = moved
		}
		c := r.apart(routing.Choice{
			Version: version,
			Prompt:  w.Body,
			Tried:   r.tried,
		})
		u := d.Table.Pick(c)
		if u == nil {
			return r.refuse(persimmoncross.CodeNoUpstream, "no engine can take %s now", version).After(r.retryAfter(c))
		}
		err := r.attempt(ctx, u, version, out)
		if err == nil {
			return nil
		}
		if refusal := r.mayGoOn(ctx, err, out); refusal != nil {
			return refusal
		}
	}
	return r.refuse(persimmoncross.CodeUpstreamFailed, "every attempt failed").After(poolWait)
}

// service runs a plain service's call.
func (r *run) service(ctx context.Context) *persimmoncross.Refusal {
	d, w := r.dispatcher, r.work
	for try := range w.attempts() {
		if refusal := r.mayTry(ctx, try); refusal != nil {
			return refusal
		}
		if refusal := d.mayCall(w); refusal != nil {
			return refusal.WithRun(r.ran)
		}
		c := r.apart(routing.Choice{
			Service: w.Service.Upstreams,
			Tried:   r.tried,
		})
		u := d.Table.Pick(c)
		if u == nil {
			return r.refuse(persimmoncross.CodeNoUpstream, "no process of %s can take a call now", w.Service.Name).After(r.retryAfter(c))
		}
		err := r.attempt(ctx, u, persimmoncross.Version{}, r)
		if err == nil {
			return nil
		}
		if refusal := r.mayGoOn(ctx, err, r); refusal != nil {
			return refusal
		}
	}
	return r.refuse(persimmoncross.CodeUpstreamFailed, "every attempt failed").After(poolWait)
}

// retryAfter returns when a caller should come back for whom there is no upstream.
func (r *run) retryAfter(c routing.Choice) time.Duration {
	in := r.dispatcher.Table.AvailableIn(c)
	if in > 0 {
		r.dispatcher.count("refused.backoff")
	}
	return max(in, poolWait)
}

// mayTry checks what must hold right before an attempt starts.
func (r *run) mayTry(ctx context.Context, try int) *persimmoncross.Refusal {
	if ctx.Err() != nil {
		return r.refuse(persimmoncross.CodeDeadline, "the time is up")
	}
	if refusal := r.dispatcher.Gate.Lease(); refusal != nil {
		return refusal.WithRun(r.ran)
	}
	if refusal := r.heldBack(); refusal != nil {
		return refusal
	}
	if try > 0 {
		if !r.dispatcher.mayRetry() {
			r.dispatcher.count("retry.refused")
			return r.refuse(persimmoncross.CodeUpstreamFailed, "the retry budget is spent").After(poolWait)
		}
		r.dispatcher.count("retried")
	}
	return nil
}

// mayGoOn decides after a failed attempt: nil means that another may follow.
func (r *run) mayGoOn(ctx context.Context, err error, out writer) *persimmoncross.Refusal {
	if errors.Is(err, errCaller) || ctx.Err() != nil {
		return r.refuse(persimmoncross.CodeDeadline, "the time is up, or the caller is gone")
	}
	var a *persimmoncross.AttemptError
	if !errors.As(err, &a) {
		a = &persimmoncross.AttemptError{
			Reason: "internal",
			Run:    persimmoncross.Unknown,
			Detail: err.Error(),
		}
	}
	r.dispatcher.count("retry.reason." + a.Reason)
	switch {
	case out.committed():
		return r.refuse(persimmoncross.CodeUpstreamFailed, "the answer broke off: %s", a.Reason)
	case a.Client:
		return r.refuse(persimmoncross.CodeBodyMalformed, "the engine refused the request: %s", a.Detail)
	case r.work.Once && a.Run != persimmoncross.NotRun:
		return r.refuse(persimmoncross.CodeOutcomeUnknown, "the attempt failed (%s) and may not be repeated", a.Reason)
	}
	return nil
}

// refuse returns a refusal with what is known of the request's runs.
func (r *run) refuse(code persimmoncross.Code, format string, args ...any) *persimmoncross.Refusal {
	return persimmoncross.Refuse(code, format, args...).WithRun(r.ran)
}

// moveOff finds another version when the one chosen may not run any more.
func (r *run) moveOff(ctx context.Context, step, version persimmoncross.Version) (persimmoncross.Version, *persimmoncross.Refusal) {
	s := r.dispatcher.Settings()
	pin, moved, ok := r.dispatcher.pinFor(s, r.work, step)
	if !ok {
		return version, r.dispatcher.noVersion(r.work, step).WithRun(r.ran)
	}
	if pin == nil {
		return moved, nil
	}
	if s.Withdrawn[version] {
		pin.Moved = version.String()
	}
	return r.dispatcher.commitPin(ctx, r.work, pin)
}

// attempt sends the request to one upstream and passes its answer on.
func (r *run) attempt(ctx context.Context, u *routing.Upstream, v persimmoncross.Version, out writer) error {
	d, w := r.dispatcher, r.work
	r.tried[u.Name] = true
	r.first = 0
	a := r.attemptFor(u, v)
	began := d.Clock.Now()
	end := u.Begin(began, v, w.Body)
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := r.watch(ctx, cancel)
	defer dog.stop()
	d.count("attempts")
	d.Log.Debug().Str("request", w.ID).Str("attempt", a.ID).Str("upstream", u.Name).Str("organisation", a.Organisation).Str("version", v.String()).Uint64("revision", d.Settings().Revision).Msg("attempt")
	record := r.copy.Begin(u.Life(), began)
	answer, err := d.Upstreams.Begin(ctx, u.Address, a)
	if err == nil {
		record.Begun(d.Clock.Now())
		r.ran = persimmoncross.Ran
		err = r.pass(ctx, u, a, answer, out, began, dog)
	} else {
		r.note(err)
	}
	r.explain(ctx, record, u, err)
	r.judge(ctx, u, v, err)
	return err
}

func (r *run) attemptFor(u *routing.Upstream, v persimmoncross.Version) persimmoncross.Attempt {
	w := r.work
	return persimmoncross.Attempt{
		ID:           r.attemptID(),
		Request:      w.ID,
		Key:          w.Key,
		Organisation: w.Organisation.Name,
		Version:      v,
		Priority:     w.Organisation.Priority,
		Stream:       w.Stream,
		Blind:        u.Blind(),
		Once:         w.Once,
		Method:       w.Method,
		Path:         w.Path,
		Header:       w.Header,
		Body:         w.Body,
	}
}

func (r *run) note(err error) {
	var a *persimmoncross.AttemptError
	if errors.As(err, &a) {
		r.ran = worse(r.ran, a.Run)
		return
	}
	r.ran = worse(r.ran, persimmoncross.Unknown)
}

// pass copies the answer's chunks to the writer. A stream that breaks is
// resumed by its engine; another engine's answer never continues it.
func (r *run) pass(ctx context.Context, u *routing.Upstream, a persimmoncross.Attempt, answer persimmoncross.Answer, out writer, began time.Time, dog *watchdog) error {
	defer func() { answer.Close() }()
	head := answer.Head()
	head.Version = a.Version
	head.Attempt = a.ID
	chunks, resumes := 0, 0
	for {
		chunk, err := answer.Next()
		dog.feed()
		if err == io.EOF {
			break
		}
		if err != nil {
			r.notePartial(a, u, answer.Usage())
			if resumes >= maxResumes || !a.Stream || ctx.Err() != nil {
				return err
			}
			resumes++
			again, failed := r.dispatcher.Upstreams.Resume(ctx, u.Address, a, chunks)
			if failed != nil {
				return err
			}
			r.dispatcher.count("resumed")
			answer.Close()
			answer = again
			continue
		}
		if chunks == 0 {
			r.first = r.dispatcher.Clock.Now().Sub(began)
			if out.start(head) != nil {
				return errCaller
			}
		}
		chunks++
		if out.write(chunk) != nil {
			r.notePartial(a, u, answer.Usage())
			return errCaller
		}
	}
	if chunks == 0 && out.start(head) != nil {
		return errCaller
	}
	u.Took(r.dispatcher.Clock.Now().Sub(began))
	r.lines = append(r.lines, newLine(a, u, answer.Usage()))
	r.partial = nil
	return nil
}

// notePartial keeps what was generated, for the bill of a cancelled request.
func (r *run) notePartial(a persimmoncross.Attempt, u *routing.Upstream, usage persimmoncross.Usage) {
	r.partial = newLine(a, u, usage)
}

func newLine(a persimmoncross.Attempt, u *routing.Upstream, usage persimmoncross.Usage) *record.Line {
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

// judge tells the upstream's history and the version's evidence the outcome.
// A caller who leaves, and a request at fault, say nothing of either.
func (r *run) judge(ctx context.Context, u *routing.Upstream, v persimmoncross.Version, err error) {
	var a *persimmoncross.AttemptError
	silent := errors.Is(err, errCaller) || errors.As(err, &a) && a.Client
	if silent || err != nil && errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) != errStalled {
		u.Breaker(v).Forget()
		return
	}
	u.Breaker(v).Note(err != nil)
	if a != nil && a.RetryAfter > 0 {
		r.dispatcher.count("backoff")
		u.BackOff(r.dispatcher.Clock.Now().Add(a.RetryAfter))
	}
	if v.Model == "" || a != nil && (a.Busy || a.Run == persimmoncross.NotRun) {
		return // the engine's fault, not the version's
	}
	r.dispatcher.Evidence.Note(v, r.work.Organisation.Name, err != nil, r.first)
}
