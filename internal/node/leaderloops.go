package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/steward"
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

func (c *Controller) incrementCounter(name string) {
	metrics.GetOrRegisterCounter("controller."+name, c.Metrics).Inc(1)
}
