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
	loopInterval = 200 * time.Millisecond
	// listReadsPerDrain is the part of the drain time after which the list is read again:
	// with the list's own lag and the way to the entries it leaves half unused.
	listReadsPerDrain     = 6
	minListReadInterval   = 250 * time.Millisecond
	listReadTimeout       = 3 * time.Second // thousands of upstreams are on tens of pages
	minListIntervalFactor = 2               // times as long as a reading took it is not begun again
	listCheckInterval     = 100 * time.Millisecond
	// voterSilenceTimeout is the silence after which a voter that has a successor is
	// removed: several elections, well within the time a new disk has to count.
	voterSilenceTimeout = 1500 * time.Millisecond
	voterChangeTimeout  = 2 * time.Second
)

// listReadInterval returns the pause between two readings of the list of upstreams.
func (c *Controller) listReadInterval() time.Duration {
	return max(c.Site.Bounds.Drain/listReadsPerDrain, minListReadInterval)
}

// runListReader reads the list while this controller leads, and at once where it is
// older than it should be, as after an election.
func (c *Controller) runListReader(ctx context.Context) {
	minInterval := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(listCheckInterval):
		}
		_, readAt := c.publisher.upstreams()
		startedAt := c.Clock.Now()
		isLeader := c.isLeaderWithLease()
		if needsUpdate := c.coldTracker.refresh(isLeader, startedAt); needsUpdate && isLeader {
			c.updateColdUpstreams(startedAt) // whether the list can be read or not
		}
		if isLeader && startedAt.Sub(readAt) >= max(c.listReadInterval(), minInterval) {
			c.readList(ctx)
			minInterval = minListIntervalFactor * c.Clock.Now().Sub(startedAt)
		}
	}
}

func (c *Controller) readList(ctx context.Context) {
	startedAt := c.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	list, err := c.Lister.ListUpstreams(ctx)
	if err != nil {
		c.incrementCounter("list.failed")
		c.Log.Warn().Err(err).Msg("the list of upstreams was not read")
		return
	}
	c.coldTracker.list, c.coldTracker.listReadAt = list, startedAt
	c.updateColdUpstreams(c.Clock.Now())
	c.publisher.setList(list, startedAt)
}

// runVoterChanges keeps the set of voters whole while this controller leads.
func (c *Controller) runVoterChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(loopInterval):
		}
		if c.isLeaderWithLease() {
			c.changeVoters(ctx)
		}
	}
}

func (c *Controller) changeVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, voterChangeTimeout)
	defer cancel()
	facts := steward.GroupStatus{
		Self:               c.store.member,
		Voters:             c.group.View().Config.Voters,
		TimeSinceContact:   map[persimmoncross.MemberID]time.Duration{},
		TargetVoters:       2*c.Site.Losses + 1,
		UnreachableTimeout: voterSilenceTimeout,
	}
	for _, member := range c.group.MemberStatuses(ctx) {
		if member.Voter {
			facts.TimeSinceContact[member.Member.ID] = member.TimeSinceContact
			continue
		}
		if member.TimeSinceContact > voterSilenceTimeout {
			continue // it may never come back
		}
		facts.Learners = append(facts.Learners, steward.Learner{
			Member:   member.Member,
			CaughtUp: member.CaughtUp,
		})
	}
	change := steward.NextChange(facts)
	if change.IsZero() {
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

// upgradeTracker remembers when this process first saw each upgrade. One goroutine
// owns it.
type upgradeTracker struct {
	seen           map[uint64]seenUpgrade
	hasFollowedLog bool // this process has followed the log without a gap since the look before
}

type seenUpgrade struct {
	seenAt  time.Time
	elapsed time.Duration // at that moment
}

// maxSeenDelay is how long after its order an upgrade may first be seen here while
// the log is followed: a look, and the way of the order through the log.
const maxSeenDelay = 2 * loopInterval

// elapsed returns for how long the upgrade has been under way. What comes while
// the log is followed has begun within watchLag; the time of day, which may jump,
// is asked for that part of it, and for what was found after a start or a gap as
// far as it is plausible. A completion that counts from the look is 0.1 s later on
// average: the operator saw it too late on 14 of 102 plays of one day.
func (w *upgradeTracker) elapsed(u register.Upgrade, now time.Time) time.Duration {
	if w.seen == nil {
		w.seen = map[uint64]seenUpgrade{}
	}
	s, ok := w.seen[u.Order]
	if !ok {
		s.seenAt = now
		maxElapsed := 2 * u.Duration
		if w.hasFollowedLog {
			maxElapsed = maxSeenDelay
		}
		if d := now.Sub(time.UnixMilli(u.Began)); d > 0 && d < maxElapsed {
			s.elapsed = d
		}
		w.seen[u.Order] = s
	}
	return s.elapsed + now.Sub(s.seenAt)
}

// runUpgrades moves upgrades on while this controller leads.
func (c *Controller) runUpgrades(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(loopInterval):
		}
		reports, entries := c.publisher.currentReports(c.Clock.Now())
		for _, u := range c.register.Current().Upgrades {
			elapsed := c.upgradeTracker.elapsed(u, c.Clock.Now())
			if c.isLeaderWithLease() && !u.Stage.Ended() {
				c.advanceUpgrade(ctx, u, elapsed, reports)
			}
		}
		if c.isLeaderWithLease() {
			c.publisher.setEntries(entries)
		}
		c.upgradeTracker.hasFollowedLog = c.hasLease()
	}
}

func (c *Controller) advanceUpgrade(ctx context.Context, u register.Upgrade, elapsed time.Duration, reports []*wire.Account) {
	list, _ := c.publisher.upstreams()
	list = availableUpstreams(list, c.register.Current().Evacuations)
	stage, reason := upgrade.NextStage(u, elapsed, c.exposure(), sumCanaryStats(u, reports), isTargetReady(u, list))
	if stage == u.Stage {
		return
	}
	_, err := c.propose(ctx, register.Command{
		Advance: &register.Advance{
			Service: u.Service,
			Order:   u.Order,
			Stage:   stage,
			Kept:    keptSessions(u, stage, reports),
		},
	})
	c.Log.Info().Err(err).Str("service", u.Service).Str("target", u.Target).Str("stage", string(stage)).Dur("elapsed", elapsed).Str("why", reason).Msg("upgrade")
}

// exposure returns what an unproven version may get.
func (c *Controller) exposure() upgrade.ExposureLimit {
	return upgrade.ExposureLimit{
		Share:         c.Site.Bounds.ExposureShare,
		ExtraRequests: c.Site.Bounds.ExposureSlack,
	}
}

// keptSessions adds up the sessions that stay on the old version during a trial.
func keptSessions(u register.Upgrade, stage register.Stage, reports []*wire.Account) []uint64 {
	if stage != register.Trial {
		return nil
	}
	var sessions []uint64
	for _, a := range reports {
		for _, r := range a.GetRecent() {
			if r.GetService() == u.Service && r.GetOrder() == u.Order {
				sessions = append(sessions, r.GetSessions()...)
			}
		}
	}
	slices.Sort(sessions)
	return slices.Compact(sessions)
}

// isTargetReady reports whether there are as many upstreams of the new version as of
// all others, so that it can take all requests.
func isTargetReady(u register.Upgrade, list []persimmoncross.Upstream) bool {
	updated, others := 0, 0
	for _, x := range list {
		switch {
		case x.Service != u.Service || x.Draining:
		case x.Version == u.Target:
			updated++
		default:
			others++
		}
	}
	return updated > 0 && 4*updated >= 3*others
}

// sumCanaryStats adds up the accounts on one upgrade.
func sumCanaryStats(u register.Upgrade, reports []*wire.Account) upgrade.Evidence {
	total := upgrade.Evidence{
		New: map[string]upgrade.AnswerStats{},
		Old: map[string]upgrade.AnswerStats{},
	}
	for _, a := range reports {
		for _, t := range a.GetTrials() {
			if t.GetService() != u.Service || t.GetOrder() != u.Order {
				continue
			}
			counts := total.Old
			if t.GetVersion() == u.Target {
				counts = total.New
			}
			c := counts[t.GetRoute()]
			c.Answers += t.GetRuns()
			c.Failed += t.GetFailed()
			c.TimedAnswers += t.GetTimed()
			c.TotalSeconds += t.GetTime()
			c.TotalSquaredSeconds += t.GetSquare()
			counts[t.GetRoute()] = c
		}
	}
	return total
}

func (c *Controller) incrementCounter(name string) {
	metrics.GetOrRegisterCounter("controller."+name, c.Metrics).Inc(1)
}
