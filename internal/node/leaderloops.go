package node

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/steward"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// Intervals and timeouts of the leader's loops.
const (
	loopInterval = 200 * time.Millisecond
	// listReadsPerDrainTime is how often the list is read within the drain time. Together with the
	// list's lag and the delay to the entries, this leaves half of the drain time unused.
	listReadsPerDrainTime = 6
	minListReadInterval   = 250 * time.Millisecond
	listReadTimeout       = 3 * time.Second // a list of thousands of upstreams has tens of pages
	// minListReadIntervalFactor is the minimum time between the starts of two reads of the list, as a
	// multiple of the duration of the last read.
	minListReadIntervalFactor = 2
	listCheckInterval         = 100 * time.Millisecond
	// voterSilenceTimeout is the time without contact after which a voter that has a
	// replacement is removed. It is longer than an election takes, and is well within the time in
	// which a controller with a new disk must become a voter.
	voterSilenceTimeout = 1500 * time.Millisecond
	voterChangeTimeout  = 2 * time.Second
)

// listReadInterval returns the interval between two reads of the list of upstreams.
func (c *Controller) listReadInterval() time.Duration {
	return max(c.Site.Bounds.Drain/listReadsPerDrainTime, minListReadInterval)
}

// runListReader reads the list while this controller leads with a lease, and at once if the
// list is older than it should be, for example after an election.
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
			c.updateColdUpstreams(startedAt) // even if the list can't be read
		}
		if isLeader && startedAt.Sub(readAt) >= max(c.listReadInterval(), minInterval) {
			c.readList(ctx)
			minInterval = minListReadIntervalFactor * c.Clock.Now().Sub(startedAt)
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
		c.Log.Warn().Err(err).Msg("failed to read the list of upstreams")
		return
	}
	c.coldTracker.list, c.coldTracker.listReadAt = list, startedAt
	c.updateColdUpstreams(c.Clock.Now())
	c.publisher.setList(list, startedAt)
}

// runVoterChanges keeps the number of voters at its target while this controller leads with a
// lease.
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
	status := steward.GroupStatus{
		Self:               c.store.member,
		Voters:             c.group.View().Config.Voters,
		TimeSinceContact:   map[persimmoncross.MemberID]time.Duration{},
		TargetVoters:       2*c.Site.Losses + 1,
		UnreachableTimeout: voterSilenceTimeout,
	}
	for _, member := range c.group.MemberStatuses(ctx) {
		if member.Voter {
			status.TimeSinceContact[member.Member.ID] = member.TimeSinceContact
			continue
		}
		if member.TimeSinceContact > voterSilenceTimeout {
			continue // it may be lost for good
		}
		status.Learners = append(status.Learners, steward.Learner{
			Member:   member.Member,
			CaughtUp: member.CaughtUp,
		})
	}
	change := steward.NextChange(status)
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

// upgradeTracker records when this process first saw each upgrade. It is owned by one
// goroutine.
type upgradeTracker struct {
	seen           map[uint64]seenUpgrade
	hasFollowedLog bool // the log was followed without a gap since the previous poll
}

type seenUpgrade struct {
	seenAt  time.Time
	elapsed time.Duration // at seenAt
}

// maxSeenDelay is the longest time between the command that begins an upgrade and the poll that
// finds the upgrade while the log is followed: one poll interval, and the delay of the command
// through the log.
const maxSeenDelay = 2 * loopInterval

// elapsed returns for how long the upgrade has been running. An upgrade that appears while the
// log is followed began at most maxSeenDelay ago; the wall clock, which may jump, is used only
// for that part. For an upgrade found after a start or a gap, the wall clock is used as far as
// its result is plausible. Counting from the poll alone made completion 0.1 s late on average:
// operators saw it too late in 14 of 102 runs in one day.
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

// runUpgrades advances upgrades while this controller leads with a lease.
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

// advanceUpgrade commits the upgrade's next stage, or the sessions that an entry reported too
// late for the beginning of the trial.
func (c *Controller) advanceUpgrade(ctx context.Context, u register.Upgrade, elapsed time.Duration, reports []*wire.Account) {
	list, _ := c.publisher.upstreams()
	list = availableUpstreams(list, c.register.Current().Evacuations)
	stage, reason := upgrade.NextStage(u, elapsed, c.exposure(), sumCanaryStats(u, reports), isTargetReady(u, list))
	sessions := sessionsToKeep(u, stage, reports)
	if stage == u.Stage {
		if len(sessions) == 0 {
			return
		}
		reason = fmt.Sprintf("%d more sessions stay", len(sessions))
	}
	_, err := c.propose(ctx, register.Command{
		Advance: &register.Advance{
			Service: u.Service,
			Order:   u.Order,
			Stage:   stage,
			Kept:    sessions,
		},
	})
	c.Log.Info().Err(err).Str("service", u.Service).Str("target", u.Target).Str("stage", string(stage)).Dur("elapsed", elapsed).Str("why", reason).Msg("upgrade")
}

// exposure returns the exposure limit of an unproven version.
func (c *Controller) exposure() upgrade.ExposureLimit {
	return upgrade.ExposureLimit{
		Share:         c.Site.Bounds.ExposureShare,
		ExtraRequests: c.Site.Bounds.ExposureSlack,
	}
}

// isTargetReady reports whether there are about as many upstreams of the new version as of all
// others, so that the new version can take all requests.
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

// sumCanaryStats adds up the reported canary statistics of one upgrade.
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
