package node

import "time"

// staleUpgradeTimeout is how long an entry goes without an update from a controller with a lease before it
// takes the stages of upgrades as out of date. It is longer than an election.
const staleUpgradeTimeout = localEvaluationTimeout

// updateStaleUpgrades publishes a view when the stages of upgrades become out of date, or recent again. An
// entry that is cut off from the controllers is not told that a version is withdrawn.
func (e *Entry) updateStaleUpgrades(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := e.startedAt
	if e.leasedAt.After(since) {
		since = e.leasedAt
	}
	if stale := now.Sub(since) >= staleUpgradeTimeout; stale != e.upgradesStale {
		e.upgradesStale = stale
		e.publishView()
	}
}
