package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// upgradeTracker records when this process first saw each upgrade. It is owned by one
// goroutine.
type upgradeTracker struct {
	seen           map[uint64]seenUpgrade
	hasFollowedLog bool      // the log was followed without a gap since the previous poll
	leadingSince   time.Time // when this process began to lead; zero: it does not
}

// reportCollectionTime is how long after its election a leader may lack reports: entries that followed the
// previous leader search for another controller, and report everything there.
const reportCollectionTime = 2 * time.Second

// matcher returns the matcher of the upgrade's evidence.
func (w *upgradeTracker) matcher(u register.Upgrade) *upgrade.Matcher {
	s := w.seen[u.Order]
	if s.evidence == nil {
		s.evidence = &upgrade.Matcher{}
		w.seen[u.Order] = s
	}
	return s.evidence
}

// exposure returns how many requests the upgrade's service has had, from the reports.
func (w *upgradeTracker) exposure(u register.Upgrade, elapsed time.Duration, reports []*wire.Account, now time.Time) upgrade.Exposure {
	s := w.seen[u.Order]
	if s.exposure == nil {
		s.exposure = &upgrade.ExposureCounter{}
	}
	if u.Stage == register.Shift && s.shiftedAt.IsZero() {
		s.shiftedAt = now
	}
	w.seen[u.Order] = s
	for _, a := range reports {
		newRequests, all := reportedRequests(a, u)
		s.exposure.Add(reporterID(a), newRequests, all, now)
	}
	e := s.exposure.Exposure(elapsed, now)
	if !s.shiftedAt.IsZero() {
		e.Shifted = now.Sub(s.shiftedAt)
	}
	return e
}

// reportedRequests returns how many requests the report has for the upgrade's new version, and for all versions.
func reportedRequests(a *wire.Account, u register.Upgrade) (newRequests, all float64) {
	for _, t := range a.GetTrials() {
		if t.GetService() != u.Service || t.GetOrder() != u.Order {
			continue
		}
		sent := float64(max(t.GetSent(), t.GetRuns())) // entries of earlier releases report no attempts
		all += sent
		if t.GetVersion() == u.Target {
			newRequests += sent
		}
	}
	return newRequests, all
}

// trackLeadership records whether this process leads.
func (w *upgradeTracker) trackLeadership(leads bool, now time.Time) {
	switch {
	case !leads:
		w.leadingSince = time.Time{}
	case w.leadingSince.IsZero():
		w.leadingSince = now
	}
}

// mayLackReports reports whether the leader may not have received all reports yet.
func (w *upgradeTracker) mayLackReports(now time.Time) bool {
	return now.Sub(w.leadingSince) < reportCollectionTime
}

type seenUpgrade struct {
	seenAt  time.Time
	elapsed time.Duration // at seenAt

	hasOthers bool // upstreams of other versions were on a list since seenAt

	evidence  *upgrade.Matcher // nil before this process led
	exposure  *upgrade.ExposureCounter
	shiftedAt time.Time // when this process saw the shift first, the zero time before
	loggedAt  time.Time // when the evidence was logged last
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

// runsAlready reports whether the service runs only the upgrade's target version. An upstream of another version that was
// on the list since this process saw the upgrade counts as running, since it may be back soon.
func (w *upgradeTracker) runsAlready(u register.Upgrade, list []persimmoncross.Upstream) bool {
	s := w.seen[u.Order]
	s.hasOthers = s.hasOthers || slices.ContainsFunc(list, func(x persimmoncross.Upstream) bool { return x.Service == u.Service && x.Version != u.Target })
	w.seen[u.Order] = s
	return !s.hasOthers && runsOnly(list, u.Service, u.Target)
}

// runUpgrades advances upgrades while this controller leads with a lease.
func (c *Controller) runUpgrades(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(loopInterval):
		}
		c.upgradeTracker.trackLeadership(c.isLeaderWithLease(), c.Clock.Now())
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
	if u.Stage != register.Trial && c.upgradeTracker.runsAlready(u, list) {
		if stage := upgrade.RunningVersionStage(u, elapsed); stage != u.Stage {
			c.advanceToRunningVersion(ctx, u, stage) // logged there, and tried again with the next look
		}
		return
	}
	list = availableUpstreams(list, c.register.Current().Evacuations)
	matcher := c.upgradeTracker.matcher(u)
	addCanaryStats(matcher, u, reports, c.Clock.Now())
	evidence := matcher.Evidence()
	evidence.Exposure = c.upgradeTracker.exposure(u, elapsed, reports, c.Clock.Now())
	evidence.Incomplete = c.upgradeTracker.mayLackReports(c.Clock.Now())
	stage, reason := upgrade.NextStage(u, elapsed, c.exposure(), evidence, isTargetReady(u, list))
	sessions := sessionsToKeep(u, stage, reports)
	shares := upgrade.Shares{}
	if stage == register.Trial {
		shares = c.exposure().TrialShares(u, elapsed, evidence)
	}
	if stage == u.Stage {
		switch {
		case stage == register.Trial && u.Share != 0 && shares.Requests != u.Share:
			reason = fmt.Sprintf("the share of requests without a session falls to %.3f", shares.Requests)
		case len(sessions) > 0:
			reason = fmt.Sprintf("%d more sessions stay", len(sessions))
		default:
			c.logEvidence(u, elapsed, evidence)
			return
		}
	}
	err := c.proposeLocally(ctx, register.Command{
		Advance: &register.Advance{
			Service: u.Service,
			Order:   u.Order,
			Stage:   stage,
			Kept:    sessions,

			Share:        shares.Requests,
			SessionShare: shares.Sessions,
		},
	})
	c.evidenceEvent(u, elapsed, evidence).Err(err).Float64("share", shares.Requests).Float64("sessionShare", shares.Sessions).Str("stage", string(stage)).Str("why", reason).Msg("upgrade")
}

// evidenceLogInterval is the interval between two log lines about the evidence on an upgrade that
// stays in its stage.
const evidenceLogInterval = time.Second

// advanceToRunningVersion moves an upgrade to the version that the service runs already to the stage.
func (c *Controller) advanceToRunningVersion(ctx context.Context, u register.Upgrade, stage register.Stage) error {
	command := register.Command{
		Advance: &register.Advance{
			Service: u.Service,
			Order:   u.Order,
			Stage:   stage,
		},
	}
	var err error
	if c.IsLeader() {
		err = c.proposeLocally(ctx, command)
	} else {
		_, err = c.propose(ctx, command)
	}
	c.Log.Info().Err(err).Str("service", u.Service).Str("target", u.Target).Uint64("order", u.Order).Str("stage", string(stage)).Str("why", "the service runs no other version").Msg("upgrade")
	return err
}

// runsOnly reports whether the service has upstreams on the list, and all of them run the version.
func runsOnly(list []persimmoncross.Upstream, service, version string) bool {
	runs := false
	for _, x := range list {
		if x.Service != service {
			continue
		}
		if x.Version != version {
			return false
		}
		runs = true
	}
	return runs
}

// logEvidence logs the evidence on an upgrade, once per evidenceLogInterval.
func (c *Controller) logEvidence(u register.Upgrade, elapsed time.Duration, evidence upgrade.Evidence) {
	now := c.Clock.Now()
	s := c.upgradeTracker.seen[u.Order]
	if now.Sub(s.loggedAt) < evidenceLogInterval {
		return
	}
	s.loggedAt = now
	c.upgradeTracker.seen[u.Order] = s
	c.evidenceEvent(u, elapsed, evidence).Str("stage", string(u.Stage)).Msg("upgrade continues")
}

// evidenceEvent returns a log event with what is known about the upgrade, and from how many entries. Few
// answers may mean few requests or entries that are not heard.
func (c *Controller) evidenceEvent(u register.Upgrade, elapsed time.Duration, evidence upgrade.Evidence) *zerolog.Event {
	newTotal, oldTotal := upgrade.Total(evidence.New), upgrade.Total(evidence.Old)
	return c.Log.Info().Str("service", u.Service).Str("target", u.Target).Dur("elapsed", elapsed).
		Uint64("answers", newTotal.Answers).Uint64("failed", newTotal.Failed).Uint64("timed", newTotal.TimedAnswers).
		Uint64("oldAnswers", oldTotal.Answers).Uint64("oldFailed", oldTotal.Failed).
		Uint64("oldTimed", oldTotal.TimedAnswers).Float64("requests", evidence.Exposure.New).Float64("allRequests", evidence.Exposure.All).Float64("rate", evidence.Exposure.Rate).Float64("mean", newTotal.MeanSeconds()).Float64("oldMean", oldTotal.MeanSeconds()).
		Strs("paces", evidence.DescribePaces()).Int("heard", c.publisher.entriesHeard(c.Clock.Now())).Strs("outliers", evidence.Outliers)
}

// exposure returns the exposure limit of an unproven version.
func (c *Controller) exposure() upgrade.ExposureLimit {
	return upgrade.ExposureLimit{
		Share:         c.Site.Bounds.ExposureShare,
		ExtraRequests: c.Site.Bounds.ExposureSlack,
	}
}

// isTargetReady reports whether there are about as many upstreams of the new version as of all
// others that get requests, so that the new version can take all requests.
func isTargetReady(u register.Upgrade, list []persimmoncross.Upstream) bool {
	updated, others := 0, 0
	for _, x := range list {
		switch {
		case x.Service != u.Service || x.Draining || slices.Contains(u.Rejected, x.Version):
		case x.Version == u.Target:
			updated++
		default:
			others++
		}
	}
	return updated > 0 && 4*updated >= 3*others
}

// addCanaryStats adds the reported canary statistics of one upgrade to the matcher.
func addCanaryStats(m *upgrade.Matcher, u register.Upgrade, reports []*wire.Account, now time.Time) {
	m.Begin(now)
	for _, a := range reports {
		newByRoute, oldByRoute := map[string]map[string]upgrade.AnswerStats{}, map[string]upgrade.AnswerStats{}
		var paces []upgrade.PaceReport
		for _, t := range a.GetTrials() {
			if t.GetService() != u.Service || t.GetOrder() != u.Order {
				continue
			}
			paces = append(paces, upgrade.PaceReport{
				PaceKey: upgrade.PaceKey{
					Route: t.GetRoute(),
					Model: t.GetModel(),
				},
				Upstream: t.GetUpstream(),
				New:      t.GetVersion() == u.Target,
				Paces:    t.GetPaces(),
				Open:     t.GetOpen(),
			})
			if t.GetModel() != "" {
				continue // only paces are counted by model
			}
			stats := upgrade.AnswerStats{
				Answers:             t.GetRuns(),
				Failed:              t.GetFailed(),
				TimedAnswers:        t.GetTimed(),
				TotalSeconds:        t.GetTime(),
				TotalSquaredSeconds: t.GetSquare(),
			}
			oldStats := oldByRoute[t.GetRoute()]
			if t.GetVersion() != u.Target {
				oldStats.Add(stats)
			} else {
				byUpstream := newByRoute[t.GetRoute()]
				if byUpstream == nil {
					byUpstream = map[string]upgrade.AnswerStats{}
					newByRoute[t.GetRoute()] = byUpstream
				}
				byUpstream[t.GetUpstream()] = stats
			}
			oldByRoute[t.GetRoute()] = oldStats
		}
		m.SetPaces(reporterID(a), paces)
		for route, oldStats := range oldByRoute {
			m.Add(reporterID(a), route, newByRoute[route], oldStats)
		}
	}
}
