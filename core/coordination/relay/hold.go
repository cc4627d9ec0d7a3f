package relay

import (
	"context"
	"slices"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// reservedPart is the part of the upstreams that requests under suspicion may take for
// themselves at most: with more of them they run among the others.
const reservedPart = 0.25

// Reserve returns the lives of the upstreams at which requests under suspicion run,
// by the list.
func Reserve(holds map[persimmoncross.Digest]persimmoncross.Hold, targets map[string][]*Target) map[string]bool {
	reserved := map[string]bool{}
	for _, h := range holds {
		if !h.Apart() {
			continue
		}
		if u := home(h.Digest, targets[h.Service]); u != nil {
			reserved[u.Life()] = true
		}
	}
	return reserved
}

// home returns the upstream for a request under suspicion, nil if there is none.
func home(d persimmoncross.Digest, targets []*Target) *Target {
	names := make([]string, len(targets))
	for i, u := range targets {
		names[i] = u.Incarnation
	}
	if at := quarantine.Home(d, names); at >= 0 {
		return targets[at]
	}
	return nil
}

// hold returns what is done with the passage's request.
func (t *trip) hold() persimmoncross.HoldStage {
	tried := t.copy.Trial()
	stage := t.copy.Stage(t.relay.View().Holds[t.copy.Digest], t.runs > 0)
	if !tried && t.copy.Trial() {
		t.relay.count("quarantine.tried")
	}
	return stage
}

// alone returns the one upstream at which a request under suspicion runs, nil if
// that can't be reached. Another one is not taken: where upstreams end faster than
// they start, the few that are up would get all suspects, and each of their ends
// would have all of them for a cause.
func (t *trip) alone() *Target {
	t.relay.count("quarantine.watched")
	t.relay.Book.Asked(t.copy.Digest, t.service, t.relay.Clock.Now())
	var list, others []*Target
	for _, u := range t.targets() {
		switch {
		case u.Leaves(t.relay.Clock.Now()):
		case t.group.holds(u):
			list = append(list, u)
		case !t.group.strict:
			others = append(others, u)
		}
	}
	if len(list) == 0 {
		list = others
	}
	u := home(t.copy.Digest, list)
	if u == nil || t.tried[u.Incarnation] || !u.take(t.relay.Clock.Now()) {
		return nil
	}
	return u
}

// spare leaves out the upstreams that requests under suspicion have for themselves:
// the next end there is to cut few.
func (t *trip) spare(candidates []*Target) []*Target {
	v := t.relay.View()
	if len(v.Reserved) == 0 || len(candidates) == 0 {
		return candidates
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(u *Target) bool { return v.Reserved[u.Life()] })
	if float64(len(free)) < (1-reservedPart)*float64(len(candidates)) {
		return candidates
	}
	return free
}

// quarantined refuses a request that ends upstreams. One that has run before it was
// known is not said not to have.
func (t *trip) quarantined(ctx context.Context) *persimmoncross.Refusal {
	r := t.relay
	r.Book.Asked(t.copy.Digest, t.service, r.Clock.Now())
	r.count("quarantine.refused")
	if t.runs > 0 || t.started {
		return t.giveUp(ctx, "quarantine")
	}
	t.line().Str("route", t.route.Name).Int("sends", t.sends).Msg("refused: upstreams end under this request")
	return persimmoncross.Refuse(persimmoncross.CodeQuarantined, "upstreams end under requests like this one").After(quarantine.RefusedFor)
}

// turnedAway refuses a copy of a request under suspicion whose upstream takes none now. It
// will be another one soon.
func (t *trip) turnedAway(ctx context.Context) *persimmoncross.Refusal {
	t.relay.count("quarantine.turned-away")
	if t.runs > 0 || t.started {
		return t.giveUp(ctx, "quarantine")
	}
	t.line().Str("route", t.route.Name).Int("sends", t.sends).Msg("refused: the upstream for this request takes none now")
	return persimmoncross.Refuse(persimmoncross.CodeNoUpstream, "upstreams ended under requests like this one, and the one for it takes none now").After(t.comeBack(0))
}

// cut tells the book that an answer broke off, or never began, with its connection,
// and lets it be found out whether the upstream has ended.
func (t *trip) cut(ctx context.Context, target *Target, err *persimmoncross.AttemptError) {
	r := t.relay
	if ctx.Err() != nil || err.Run == persimmoncross.NotRun || !err.Cut || !t.record.Cut(r.Clock.Now()) {
		return
	}
	r.count("quarantine.probed")
	record, u := t.record, target.Upstream
	go func() {
		blamed, gone := record.Look(ctx, r.Prober, u.Address, r.Clock)
		if !gone {
			r.count("quarantine.lived")
			return
		}
		r.count("quarantine.ended")
		r.Log.Info().Str("upstream", u.Incarnation).Str("address", u.Address.String()).Strs("digests", quarantine.Named(blamed)).Int("requests", len(blamed)).Msg("upstream ended under requests")
	}()
}
