// Package ledger is the replicated state machine of claims, bills and session
// pins. A request is known by its organisation and key. It is claimed by one
// owner (an entry VM's process), which runs it and settles it; the first
// settlement is the bill.
//
// Everything is decided from the commands alone, whose times only ever move
// the ledger's own time forward, so that every replica decides alike.
package ledger

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/record"
)

// Bounds of the tables.
const (
	MaxRequests = 1_000_000 // above it claims are refused as FULL
	MaxSessions = 200_000   // above it new sessions are refused as FULL
	MaxAnswers  = 64 << 20  // bytes of kept answers; the oldest go first
	MaxAnswer   = 64 << 10  // bytes of one kept answer
	KeepSettled = time.Hour // a settled request's key is remembered so long
	KeepAnswer  = 10 * time.Minute
	sweepEvery  = 1024 // log entries between removals of what is too old
)

// Outcomes of a settled request.
const (
	Whole     = "whole"     // the caller may have the whole answer
	Cancelled = "cancelled" // the caller went away; billed for what was generated
	Failed    = "failed"    // an upstream began it, and no whole answer came
	NotRun    = "not-run"   // no upstream began it: the claim is given back
	Void      = "void"      // its owner died, and no engine shows a whole run
	Swept     = "swept"     // its owner died; billed from the engine's own record
)

type requestKey struct {
	organisation string
	key          string
}

type sessionKey struct {
	organisation string
	session      string
	model        string
}

// Ledger is the state machine. The group's goroutine changes it; operators'
// queries read it.
type Ledger struct {
	mu       sync.RWMutex // guards all below
	now      int64
	serial   uint64 // of the latest settlement
	requests map[requestKey]*record.Request
	sessions map[sessionKey]*record.Session
	totals   map[sessionKey]*record.Total // by organisation and model (the version)
	kept     int                          // bytes of answers
	answers  []requestKey                 // with an answer, oldest first
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{}
	l.clear()
	return l
}

func (l *Ledger) clear() {
	l.requests = map[requestKey]*record.Request{}
	l.sessions = map[sessionKey]*record.Session{}
	l.totals = map[sessionKey]*record.Total{}
	l.kept = 0
	l.answers = nil
}

// Apply implements [persimmoncross.StateMachine].
func (l *Ledger) Apply(entry persimmoncross.Entry) []byte {
	c := &record.Command{}
	if err := proto.Unmarshal(entry.Data, c); err != nil {
		return record.Encode(&record.Verdict{})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var v *record.Verdict
	switch {
	case c.GetClaim() != nil:
		l.advance(c.GetClaim().GetTime())
		v = l.claim(c.GetClaim())
	case c.GetSettle() != nil:
		l.advance(c.GetSettle().GetTime())
		v = l.settle(c.GetSettle())
	case c.GetPin() != nil:
		l.advance(c.GetPin().GetTime())
		v = l.pinOnly(c.GetPin())
	default:
		v = &record.Verdict{}
	}
	if entry.Index%sweepEvery == 0 {
		l.sweep()
	}
	return record.Encode(v)
}

func (l *Ledger) advance(t int64) { l.now = max(l.now, t) }

// claim gives the request to the claimant, or tells who has it or had it.
func (l *Ledger) claim(c *record.Claim) *record.Verdict {
	k := requestKey{
		organisation: c.GetOrganisation(),
		key:          c.GetKey(),
	}
	r := l.requests[k]
	if r != nil {
		return l.known(c, r)
	}
	if len(l.requests) >= MaxRequests {
		return &record.Verdict{
			State: record.State_FULL,
		}
	}
	version, ok := l.pin(c.GetPin())
	if !ok {
		return &record.Verdict{
			State: record.State_FULL,
		}
	}
	l.requests[k] = &record.Request{
		Organisation: c.GetOrganisation(),
		Key:          c.GetKey(),
		Digest:       c.GetDigest(),
		Owner:        c.GetOwner(),
		Once:         c.GetOnce(),
		Opened:       l.now,
		Request:      c.GetRequest(),
	}
	return &record.Verdict{
		State:   record.State_NEW,
		Owner:   c.GetOwner(),
		Version: version,
	}
}

// known answers a claim of a request that was claimed before.
func (l *Ledger) known(c *record.Claim, r *record.Request) *record.Verdict {
	v := &record.Verdict{
		Owner: r.GetOwner(),
		Once:  r.GetOnce(),
	}
	switch {
	case !bytes.Equal(c.GetDigest(), r.GetDigest()):
		v.State = record.State_REUSED
	case r.GetSettled() != 0:
		v.State = record.State_SETTLED
		v.Outcome = r.GetOutcome()
		v.Answer = r.GetAnswer()
		v.Lines = r.GetLines()
	case r.GetOwner() == c.GetOwner() && r.GetRequest() == c.GetRequest():
		v.State = record.State_NEW // the claimant resends its own command
		v.Version, _ = l.pin(c.GetPin())
	case c.GetDead() == "" || c.GetDead() != r.GetOwner():
		v.State = record.State_RUNNING
	case r.GetOnce():
		v.State = record.State_LOST
	default:
		r.Owner = c.GetOwner()
		r.Request = c.GetRequest()
		v.State = record.State_NEW
		v.Owner = c.GetOwner()
		v.Version, _ = l.pin(c.GetPin())
	}
	return v
}

// pinOnly pins a session for a later step of a cascade.
func (l *Ledger) pinOnly(p *record.Pin) *record.Verdict {
	version, ok := l.pin(p)
	if !ok {
		return &record.Verdict{
			State: record.State_FULL,
		}
	}
	return &record.Verdict{
		State:   record.State_NEW,
		Version: version,
	}
}

// pin returns the session's version, fixing it at the first use. Only the
// withdrawal of the version that it has moves it, once.
func (l *Ledger) pin(p *record.Pin) (version string, ok bool) {
	if p.GetSession() == "" {
		return "", true
	}
	k := keyOf(p)
	s := l.sessions[k]
	switch {
	case s != nil && !l.idle(s) && s.GetVersion() != p.GetMoved():
	case s == nil && len(l.sessions) >= MaxSessions:
		return "", false
	default:
		s = &record.Session{
			Organisation: p.GetOrganisation(),
			Session:      p.GetSession(),
			Model:        p.GetModel(),
			Version:      p.GetVersion(),
		}
		l.sessions[k] = s
	}
	s.Used = l.now
	s.Idle = p.GetIdle()
	return s.GetVersion(), true
}

func keyOf(p *record.Pin) sessionKey {
	return sessionKey{
		organisation: p.GetOrganisation(),
		session:      p.GetSession(),
		model:        p.GetModel(),
	}
}

func (l *Ledger) idle(s *record.Session) bool { return l.now-s.GetUsed() > s.GetIdle() }

// settle closes the request. Only its owner may, and only once.
func (l *Ledger) settle(c *record.Settle) *record.Verdict {
	k := requestKey{
		organisation: c.GetOrganisation(),
		key:          c.GetKey(),
	}
	r := l.requests[k]
	if r == nil {
		return &record.Verdict{
			State: record.State_STALE,
		}
	}
	if r.GetSettled() != 0 || r.GetOwner() != c.GetOwner() {
		return l.refuseSettle(c, r)
	}
	l.touch(c)
	repeatable := !r.GetOnce() && (c.GetOutcome() == Failed || c.GetOutcome() == Void)
	again := c.GetOutcome() == NotRun || repeatable
	if again {
		delete(l.requests, k) // a resend may run it
		return &record.Verdict{
			State:   record.State_SETTLED,
			Outcome: c.GetOutcome(),
		}
	}
	l.serial++
	r.Serial = l.serial
	r.Settled = max(l.now, 1)
	r.Outcome = c.GetOutcome()
	r.Lines = c.GetLines()
	l.keep(k, r, c.GetAnswer())
	l.count(r)
	return &record.Verdict{
		State:   record.State_SETTLED,
		Owner:   r.GetOwner(),
		Outcome: r.GetOutcome(),
	}
}

// refuseSettle answers a settlement of a request that was settled before, or
// that somebody else has taken over.
func (l *Ledger) refuseSettle(c *record.Settle, r *record.Request) *record.Verdict {
	v := &record.Verdict{
		State:   record.State_STALE,
		Owner:   r.GetOwner(),
		Outcome: r.GetOutcome(),
		Answer:  r.GetAnswer(),
	}
	if r.GetSettled() != 0 && r.GetOwner() == c.GetOwner() {
		v.State = record.State_SETTLED // the owner resends its own command
	}
	return v
}

func (l *Ledger) touch(c *record.Settle) {
	for _, p := range c.GetPins() {
		if s := l.sessions[keyOf(p)]; s != nil {
			s.Used = l.now
		}
	}
}

// keep stores the answer for a resend, if it is small; the oldest make room.
func (l *Ledger) keep(k requestKey, r *record.Request, answer []byte) {
	if len(answer) == 0 || len(answer) > MaxAnswer {
		return
	}
	r.Answer = answer
	l.kept += len(answer)
	l.answers = append(l.answers, k)
	for l.kept > MaxAnswers {
		l.dropOldestAnswer()
	}
}

func (l *Ledger) dropOldestAnswer() {
	k := l.answers[0]
	l.answers = l.answers[1:]
	if r := l.requests[k]; r != nil {
		l.kept -= len(r.GetAnswer())
		r.Answer = nil
	}
}

// count adds a bill to the totals, which are never dropped.
func (l *Ledger) count(r *record.Request) {
	for _, n := range r.GetLines() {
		k := sessionKey{
			organisation: r.GetOrganisation(),
			model:        n.GetVersion(),
		}
		t := l.totals[k]
		if t == nil {
			t = &record.Total{
				Organisation: r.GetOrganisation(),
				Version:      n.GetVersion(),
			}
			l.totals[k] = t
		}
		t.Requests++
		t.Input += n.GetInput()
		t.Output += n.GetOutput()
	}
}

// sweep drops what is too old.
func (l *Ledger) sweep() {
	for len(l.answers) > 0 {
		r := l.requests[l.answers[0]]
		if r != nil && l.now-r.GetSettled() < int64(KeepAnswer) {
			break
		}
		l.dropOldestAnswer()
	}
	for k, r := range l.requests {
		if r.GetSettled() != 0 && l.now-r.GetSettled() > int64(KeepSettled) {
			delete(l.requests, k)
		}
	}
	for k, s := range l.sessions {
		if l.idle(s) {
			delete(l.sessions, k)
		}
	}
}

// Snapshot implements [persimmoncross.StateMachine].
func (l *Ledger) Snapshot() []byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	state := &record.Ledger{
		Now:    l.now,
		Serial: l.serial,
	}
	for _, r := range l.requests {
		state.Requests = append(state.Requests, r)
	}
	slices.SortFunc(state.Requests, func(a, b *record.Request) int {
		return cmp.Or(cmp.Compare(a.GetSerial(), b.GetSerial()), cmp.Compare(a.GetOrganisation(), b.GetOrganisation()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	for _, s := range l.sessions {
		state.Sessions = append(state.Sessions, s)
	}
	for _, t := range l.totals {
		state.Totals = append(state.Totals, t)
	}
	return record.Encode(state)
}

// Restore implements [persimmoncross.StateMachine].
func (l *Ledger) Restore(data []byte) error {
	state := &record.Ledger{}
	if err := proto.Unmarshal(data, state); err != nil {
		return fmt.Errorf("ledger: restore: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clear()
	l.now = state.GetNow()
	l.serial = state.GetSerial()
	for _, r := range state.GetRequests() {
		k := requestKey{
			organisation: r.GetOrganisation(),
			key:          r.GetKey(),
		}
		l.requests[k] = r
		if len(r.GetAnswer()) > 0 {
			l.kept += len(r.GetAnswer())
			l.answers = append(l.answers, k)
		}
	}
	for _, s := range state.GetSessions() {
		l.sessions[sessionKey{
			organisation: s.GetOrganisation(),
			session:      s.GetSession(),
			model:        s.GetModel(),
		}] = s
	}
	for _, t := range state.GetTotals() {
		l.totals[sessionKey{
			organisation: t.GetOrganisation(),
			model:        t.GetVersion(),
		}] = t
	}
	return nil
}
