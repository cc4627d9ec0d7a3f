package node

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/steward"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// Times of the leader's duties.
const (
	dutyEvery = 200 * time.Millisecond
	// listPart is the part of the drain time after which the list is read again:
	// with the list's own lag and the way to the entries it leaves half unused.
	listPart  = 6
	listLeast = 250 * time.Millisecond
	listWait  = 3 * time.Second // thousands of upstreams are on tens of pages
	listRest  = 2               // times as long as a reading took it is not begun again
	listTick  = 100 * time.Millisecond
	// voterPatience is the silence after which a voter that has a successor is
	// removed: several elections, well within the time a new disk has to count.
	voterPatience = 1500 * time.Millisecond
	changeWait    = 2 * time.Second
)

// listEvery returns the pause between two readings of the list of upstreams.
func (c *Controller) listEvery() time.Duration {
	return max(c.Site.Bounds.Drain/listPart, listLeast)
}

// listDuty reads the list while this controller leads, and at once where it is
// older than it should be, as after an election.
func (c *Controller) listDuty(ctx context.Context) {
	rest := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(listTick):
		}
		_, read := c.hub.upstreams()
		began := c.Clock.Now()
		leads := c.leadsNow()
		if news := c.colds.look(leads, began); news && leads {
			c.updateColds(began) // whether the list can be read or not
		}
		if leads && began.Sub(read) >= max(c.listEvery(), rest) {
			c.readList(ctx)
			rest = listRest * c.Clock.Now().Sub(began)
		}
	}
}

func (c *Controller) readList(ctx context.Context) {
	began := c.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	list, err := c.Lister.Upstreams(ctx)
	if err != nil {
		c.count("list.failed")
		c.Log.Warn().Err(err).Msg("the list of upstreams was not read")
		return
	}
	c.colds.list, c.colds.read = list, began
	c.updateColds(c.Clock.Now())
	c.hub.setList(list, began)
}

// votersDuty keeps the set of voters whole while this controller leads.
func (c *Controller) votersDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(dutyEvery):
		}
		if c.leadsNow() {
			c.changeVoters(ctx)
		}
	}
}

func (c *Controller) changeVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	facts := steward.Facts{
		Self:     c.store.member,
		Voters:   c.group.View().Set.Voters,
		Silence:  map[persimmoncross.MemberID]time.Duration{},
		Wanted:   2*c.Site.Losses + 1,
		Patience: voterPatience,
	}
	for _, k := range c.group.Members(ctx) {
		if k.Voter {
			facts.Silence[k.Member.ID] = k.Silence
			continue
		}
		if k.Silence > voterPatience {
			continue // it may never come back
		}
		facts.Learners = append(facts.Learners, steward.Learner{
			Member:   k.Member,
			CaughtUp: k.CaughtUp,
		})
	}
	change := steward.Decide(facts)
	if change.None() {
		return
	}
	var err error
	if change.Remove != 0 {
		err = c.group.RemoveVoter(ctx, change.Remove)
	} else {
		err = c.group.AddVoter(ctx, change.Add)
	}
	c.Log.Info().Err(err).Str("add", change.Add.VM).Uint64("remove", uint64(change.Remove)).Str("reason", change.Reason).Msg("voters")
}

// upgradeWatch remembers when this process first saw each upgrade. One goroutine
// owns it.
type upgradeWatch struct {
	seen    map[uint64]seenUpgrade
	current bool // this process has followed the log without a gap since the look before
}

type seenUpgrade struct {
	at      time.Time
	elapsed time.Duration // at that moment
}

// watchLag is how long after its order an upgrade may first be seen here while
// the log is followed: a look, and the way of the order through the log.
const watchLag = 2 * dutyEvery

// elapsed returns for how long the upgrade has been under way. What comes while
// the log is followed has begun within watchLag; the time of day, which may jump,
// is asked for that part of it, and for what was found after a start or a gap as
// far as it is plausible. A completion that counts from the look is 0.1 s later on
// average: the operator saw it too late on 14 of 102 plays of one day.
func (w *upgradeWatch) elapsed(u register.Upgrade, now time.Time) time.Duration {
	if w.seen == nil {
		w.seen = map[uint64]seenUpgrade{}
	}
	s, ok := w.seen[u.Order]
	if !ok {
		s.at = now
		most := 2 * u.Duration
		if w.current {
			most = watchLag
		}
		if d := now.Sub(time.UnixMilli(u.Began)); d > 0 && d < most {
			s.elapsed = d
		}
		w.seen[u.Order] = s
	}
	return s.elapsed + now.Sub(s.at)
}

// upgradesDuty moves upgrades on while this controller leads.
func (c *Controller) upgradesDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(dutyEvery):
		}
		accounts, entries := c.hub.recent(c.Clock.Now())
		for _, u := range c.register.Current().Upgrades {
			elapsed := c.watch.elapsed(u, c.Clock.Now())
			if c.leadsNow() && !u.Stage.Ended() {
				c.advance(ctx, u, elapsed, accounts)
			}
		}
		if c.leadsNow() {
			c.hub.setEntries(entries)
		}
		c.watch.current = c.leased()
	}
}

func (c *Controller) advance(ctx context.Context, u register.Upgrade, elapsed time.Duration, accounts []*wire.Account) {
	list, _ := c.hub.upstreams()
	list = remaining(list, c.register.Current().Evacuations)
	stage, why := upgrade.Decide(u, elapsed, c.exposure(), pool(u, accounts), ready(u, list))
	if stage == u.Stage {
		return
	}
	_, err := c.order(ctx, register.Command{
		Advance: &register.Advance{
			Service: u.Service,
			Order:   u.Order,
			Stage:   stage,
			Kept:    kept(u, stage, accounts),
		},
	})
	c.Log.Info().Err(err).Str("service", u.Service).Str("target", u.Target).Str("stage", string(stage)).Dur("elapsed", elapsed).Str("why", why).Msg("upgrade")
}

// exposure returns what an unproven version may get.
func (c *Controller) exposure() upgrade.Exposure {
	return upgrade.Exposure{
		Share: c.Site.Bounds.ExposureShare,
		Slack: c.Site.Bounds.ExposureSlack,
	}
}

// kept adds up the sessions that stay on the old version during a trial.
func kept(u register.Upgrade, stage register.Stage, accounts []*wire.Account) []uint64 {
	if stage != register.Trial {
		return nil
	}
	var all []uint64
	for _, a := range accounts {
		for _, r := range a.GetRecent() {
			if r.GetService() == u.Service && r.GetOrder() == u.Order {
				all = append(all, r.GetSessions()...)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// ready reports whether there are as many upstreams of the new version as of
// all others, so that it can take all requests.
func ready(u register.Upgrade, list []persimmoncross.Upstream) bool {
	fresh, old := 0, 0
	for _, x := range list {
		switch {
		case x.Service != u.Service || x.Leaving:
		case x.Version == u.Target:
			fresh++
		default:
			old++
		}
	}
	return fresh > 0 && 4*fresh >= 3*old
}

// pool adds up the accounts on one upgrade.
func pool(u register.Upgrade, accounts []*wire.Account) upgrade.Pool {
	p := upgrade.Pool{
		New: map[string]upgrade.Count{},
		Old: map[string]upgrade.Count{},
	}
	for _, a := range accounts {
		for _, t := range a.GetTrials() {
			if t.GetService() != u.Service || t.GetOrder() != u.Order {
				continue
			}
			side := p.Old
			if t.GetVersion() == u.Target {
				side = p.New
			}
			c := side[t.GetRoute()]
			c.Runs += t.GetRuns()
			c.Failed += t.GetFailed()
			c.Timed += t.GetTimed()
			c.Time += t.GetTime()
			c.Square += t.GetSquare()
			side[t.GetRoute()] = c
		}
	}
	return p
}

func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter("controller."+name, c.Metrics).Inc(1)
}
