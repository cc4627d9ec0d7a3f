package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/retry"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// Bounds of one passage.
const (
	maxSends   = 6   // attempts, rejected ones too
	connsLeast = 2   // connections to an upstream, however many entries there are
	connsPart  = 0.9 // of an upstream's connections that all entries together use
)

// trip is one passage on its way.
type trip struct {
	relay        *Relay
	passage      *persimmoncross.Passage
	route        *catalog.Route
	service      string
	organisation string
	copy         quarantine.Copy
	priority     int
	homes        homes
	deadline     time.Time
	sink         persimmoncross.PassageSink

	group     group
	upgrade   *register.Upgrade // under way, nil if none is
	model     int               // index among the route's models
	tried     map[string]bool   // incarnations
	outlook   time.Duration     // that the upstream of the attempt had when it was picked
	copyFrom  netip.AddrPort    // of the attempt's prompt, an upstream's; invalid: none
	sends     int
	arrived   bool // an attempt may have reached an upstream
	paid      bool // the next attempt's retry is taken out already
	runs      int  // attempts that an upstream may have begun
	started   bool // the caller has got the head
	lastEvent string
	held      *heldAnswer // an upstream's failure, answered if nothing better comes
	last      *persimmoncross.AttemptError
	record    *quarantine.Run // of the attempt
}

// heldAnswer is a whole answer that was not sent yet.
type heldAnswer struct {
	head persimmoncross.PassageHead
	body []byte
}

// verdict is what became of an attempt.
type verdict uint8

const (
	verdictDone  verdict = iota // answered, or the caller is gone
	verdictAgain                // another attempt may be made
	verdictFinal                // no other attempt may be made
)

// run makes attempts until one is answered or none may be made.
func (t *trip) run(ctx context.Context) *persimmoncross.Refusal {
	r := t.relay
	defer func() { t.copy.Done(t.runs > 0) }()
	t.tried = map[string]bool{}
	t.lastEvent = t.passage.LastEvent
	if t.passage.AnyModel {
		t.model = t.firstModel()
	}
	t.decideGroup()
	for {
		if t.sends > 0 {
			// The upgrade may have gone on: at its completion the old version's
			// upstreams end at once, and their streams must find the new one's.
			t.decideGroup()
		}
		// What a request does to upstreams is asked before each attempt, by what it asks
		// for: kept by id it would be forgotten with each copy, and the bound on retries
		// be a product of copies, entries and runs.
		stage := t.hold()
		if stage == persimmoncross.HoldRefuse {
			return t.quarantined(ctx)
		}
		target := t.pick(stage)
		if target == nil && stage == persimmoncross.HoldWatch {
			return t.turnedAway(ctx)
		}
		if target == nil {
			if !t.mayTurn(ctx) {
				return t.giveUp(ctx, "no upstream")
			}
			continue
		}
		if t.arrived && !t.paid && !r.mayRetry(t.service) {
			r.count("refused.retry-budget")
			return t.giveUp(ctx, "retry budget")
		}
		t.paid = false
		t.sends++
		switch t.attempt(ctx, target) {
		case verdictDone:
			return nil
		case verdictFinal:
			return t.giveUp(ctx, "final")
		}
		if ctx.Err() != nil || t.sends >= maxSends || t.runs >= t.maxRuns() {
			return t.giveUp(ctx, "attempts")
		}
		r.count("retry." + t.last.Reason)
	}
}

func (t *trip) maxRuns() int { return max(t.route.MaxAttempts, 1) }

// decideGroup chooses the version's group. While the upgrade's stage stays, all
// attempts get the same.
func (t *trip) decideGroup() {
	r := t.relay
	u, ok := r.View().Upgrades[t.service]
	if !ok {
		return
	}
	t.group = r.Sessions.choose(u, t.passage.Session, t.passage.ID, upgrade.TrialShare(u.Duration, r.Bounds.ExposureShare), r.Evidence.braked(u), r.Clock.Now())
	if !u.Stage.Ended() {
		t.upgrade = &u
	}
}

// keepVersion binds the session to the version of the upstream that is about to
// get it. What it returns is called at the attempt's end.
func (t *trip) keepVersion(target *Target) func(now time.Time) {
	return t.relay.Sessions.Begin(t.service, t.passage.Session, target.Version, t.relay.Clock.Now())
}

// attempt sends the passage to the target and carries the answer back.
func (t *trip) attempt(ctx context.Context, target *Target) verdict {
	r := t.relay
	t.tried[target.Incarnation] = true
	ended := t.keepVersion(target)
	defer func() { ended(r.Clock.Now()) }()
	target.begin()
	target.inFlight.Add(1)
	defer target.inFlight.Add(-1)
	began := r.Clock.Now()
	t.record = t.copy.Begin(target.Life(), began)
	defer func(x *quarantine.Run) { x.Over(r.Clock.Now()) }(t.record)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := t.watchAttempt(ctx, cancel, target)
	defer w.stop()
	headCame := r.Pressure.begin(t.service, t.modelName(), t.passage.PromptTokens, began)
	targetCame := target.ask(began, r.Pressure.reading(t.service, t.modelName(), t.passage.PromptTokens))
	a, err := r.Forwarder.Forward(ctx, &persimmoncross.PassageAttempt{
		Passage:      t.passage,
		Upstream:     target.Upstream,
		Organisation: t.organisation,
		Model:        t.modelName(),
		LastEvent:    t.lastEvent,
		Priority:     t.priority,
		Deadline:     t.deadline,
		MaxConns:     t.maxConns(),
		CopyFrom:     t.copyFrom,
	})
	t.arrived = t.arrived || err == nil || attempted(err)
	ok := err == nil && !a.Head().NotRun
	headCame(r.Clock.Now(), ok)
	targetCame(r.Clock.Now(), ok)
	if err != nil && w.stop() {
		return t.silent(target, w, r.Clock.Now().Sub(began))
	}
	if err != nil {
		return t.failed(ctx, target, err)
	}
	w.head(r.Clock.Now())
	if !a.Head().NotRun && !a.Head().Misdirected {
		r.troubleOver(t.service)
		t.record.Begun(r.Clock.Now())
	}
	target.trust()
	target.hear(r.Clock.Now())
	t.observe(target, a.Head(), began)
	defer a.Close()
	head := a.Head()
	t.logHead(target, head, r.Clock.Now().Sub(began))
	if head.Status < http.StatusInternalServerError || head.NotRun {
		target.note(head.Load, r.Clock.Now()) // what fails at once is not to look idle
	}
	if head.Misdirected || head.NotRun {
		return t.rejected(target, head)
	}
	t.runs++
	t.note(target, head.Status >= 500)
	if t.route.Stream && head.Status == 200 {
		return t.stream(ctx, target, a, w)
	}
	w.stop() // the body of a plain answer follows its head
	if head.Status < 500 {
		r.Evidence.time(t.upgrade, t.trialKey(target), r.Clock.Now().Sub(began))
	}
	return t.plain(ctx, target, a)
}

// attempted reports whether an attempt that failed may have reached its upstream.
func attempted(err error) bool {
	var e *persimmoncross.AttemptError
	return !errors.As(err, &e) || e.Run != persimmoncross.NotRun
}

// logHead tells where an answer began and what was known of the upstream then.
func (t *trip) logHead(target *Target, head persimmoncross.PassageHead, took time.Duration) {
	line := t.relay.line(t.passage).Str("session", t.passage.Session).Str("upstream", target.Incarnation).Str("version", target.Version).Int("status", head.Status).Int("send", t.sends).Dur("took", took).Int64("own", target.inFlight.Load())
	if head.Load != nil {
		line.Int("running", head.Load.Running).Int("waiting", head.Load.Waiting)
	}
	if head.Limit > 0 {
		line.Float64("limit", head.Limit)
	}
	if t.modelName() != "" {
		line.Str("model", t.modelName()).Int("prompt", t.passage.PromptTokens).Int("confidence", head.Confidence)
		line.Dur("outlook", t.outlook).Dur("reading", t.relay.Pressure.reading(t.service, t.modelName(), t.passage.PromptTokens)).Bool("copy", t.copyFrom.IsValid())
	}
	line.Msg("head")
	t.relay.observe("head", took)
}

func (t *trip) maxConns() int {
	v := t.relay.View()
	s := v.Catalog.Services[t.service]
	if s == nil || s.MaxConns == 0 {
		return 0
	}
	return max(int(connsPart*float64(s.MaxConns))/v.entries(), connsLeast)
}

// note tells the breaker and the evidence of an attempt that ran.
func (t *trip) note(target *Target, failed bool) {
	target.ran(failed, t.relay.Clock.Now())
	t.relay.Evidence.note(t.upgrade, t.trialKey(target), failed)
}

// trialKey names what the evidence counts of the target.
func (t *trip) trialKey(target *Target) TrialKey {
	k := TrialKey{
		Service: t.service,
		Version: target.Version,
		Route:   t.route.Name,
	}
	if t.upgrade != nil {
		k.Order = t.upgrade.Order
	}
	return k
}

// attemptError returns the error of an attempt; one of another kind has the reason,
// and the run may have come so far.
func attemptError(err error, reason string, run persimmoncross.Run) *persimmoncross.AttemptError {
	var e *persimmoncross.AttemptError
	if errors.As(err, &e) {
		return e
	}
	return &persimmoncross.AttemptError{
		Reason: reason,
		Run:    run,
		Detail: err.Error(),
	}
}

// failed takes an attempt that gave no head.
func (t *trip) failed(ctx context.Context, target *Target, err error) verdict {
	e := attemptError(err, "internal", persimmoncross.Unknown)
	t.last = e
	t.cut(ctx, target, e)
	switch {
	case ctx.Err() != nil || e.Busy:
		target.forget()
	case e.Run == persimmoncross.NotRun:
		target.unreached(t.relay.Clock.Now())
	default:
		t.note(target, true)
	}
	t.line().Str("upstream", target.Incarnation).Str("reason", e.Reason).Str("run", string(e.Run)).Str("detail", e.Detail).Int("send", t.sends).Msg("attempt failed")
	if e.Run != persimmoncross.NotRun {
		t.runs++
		if t.route.Repeat == persimmoncross.RepeatNever {
			return verdictFinal
		}
	}
	return verdictAgain
}

// rejected takes an answer that says that nothing ran.
func (t *trip) rejected(target *Target, head persimmoncross.PassageHead) verdict {
	reason := "rejected"
	if head.Misdirected {
		reason = "misdirected"
		target.misdirected(t.relay.Clock.Now())
	} else {
		target.forget()
	}
	t.last = &persimmoncross.AttemptError{
		Reason: reason,
		Run:    persimmoncross.NotRun,
		Busy:   !head.Misdirected,
		Status: head.Status,
	}
	line := t.relay.line(t.passage).Str("upstream", target.Incarnation).Str("reason", reason).Int("status", head.Status).Int("send", t.sends)
	if head.RetryAfter > 0 {
		line.Dur("retryAfter", head.RetryAfter)
	}
	line.Msg("attempt rejected")
	return verdictAgain
}

// giveUp returns the final answer to a passage that got none, or sends the
// failure that an upstream gave.
func (t *trip) giveUp(ctx context.Context, why string) *persimmoncross.Refusal {
	r := t.relay
	line := t.line().Str("route", t.route.Name).Str("why", why).Int("sends", t.sends).Int("runs", t.runs).Bool("started", t.started).Dur("after", r.Clock.Now().Sub(t.passage.Arrived))
	if t.last != nil {
		line = line.Str("reason", t.last.Reason)
	}
	available, blocked := t.availableIn()
	if available > 0 {
		line = line.Str("blocked", blocked).Dur("availableIn", available)
	}
	line.Msg("given up")
	r.count("given-up." + strings.ReplaceAll(why, " ", "-"))
	if t.held != nil && !t.started {
		t.deliver(t.held.head, t.held.body)
		return nil
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return persimmoncross.Refuse(persimmoncross.CodeDeadline, "the caller left").WithRun(persimmoncross.Unknown)
	case t.runs > 0 && ctx.Err() != nil:
		return persimmoncross.Refuse(persimmoncross.CodeDeadline, "no answer in time").WithRun(persimmoncross.Unknown)
	case t.runs > 0:
		return persimmoncross.Refuse(persimmoncross.CodeUpstreamFailed, "the upstream's answer was lost").WithRun(persimmoncross.Unknown)
	}
	return t.refuseNotRun(available, blocked)
}

// refuseNotRun refuses a passage that no upstream has begun. The arguments are the results
// of availableIn.
func (t *trip) refuseNotRun(available time.Duration, blocked string) *persimmoncross.Refusal {
	full := t.last != nil && t.last.Busy
	switch {
	case full && !t.noneAvailable():
		available = t.begins()
	case available > 0:
		t.relay.count("refused." + blocked)
	}
	if full {
		return persimmoncross.Refuse(persimmoncross.CodeOverloaded, "no upstream has room").After(t.comeBack(available))
	}
	return persimmoncross.Refuse(persimmoncross.CodeNoUpstream, "no upstream took the request").After(t.comeBack(available))
}

// line begins a log line on a trouble of the passage: its digest joins those of
// all passages that ask for the same.
func (t *trip) line() *zerolog.Event {
	return t.relay.line(t.passage).Stringer("digest", t.copy.Digest)
}

// begins estimates in which time an answer of the service begins now.
func (t *trip) begins() time.Duration {
	r := t.relay
	return r.Pressure.estimate(t.service, t.modelName(), t.passage.PromptTokens, r.Clock.Now())
}

// comeBack returns when the caller should come back; expected is when there should
// be room, 0 if that is not known.
func (t *trip) comeBack(expected time.Duration) time.Duration {
	r := t.relay
	back := retry.ComeBack{
		Expected: expected,
		Lasted:   r.lasted(t.service, t.passage.Arrived),
		Left:     t.deadline.Sub(r.Clock.Now()),
		Rank:     t.route.Priority,
		Ranks:    r.View().Catalog.Ranks(),
	}
	return back.After(rand.Float64())
}
