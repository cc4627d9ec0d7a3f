package node

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// canaryKey identifies one record of the canary statistics in a report.
type canaryKey struct {
	service string
	version string
	route   string
	order   uint64

	upstream string
	model    string
}

func canaryKeyOf(t *wire.Trial) canaryKey {
	return canaryKey{
		service: t.GetService(),
		version: t.GetVersion(),
		route:   t.GetRoute(),
		order:   t.GetOrder(),

		upstream: t.GetUpstream(),
		model:    t.GetModel(),
	}
}

// sentCanaryStats are the canary statistics that were sent on a stream, by the report's VM and
// incarnation. Only changes are sent: while an upgrade runs, a report of all routes twice a
// second would take 60 bytes for each of thousands of routes, of which only some tens had
// responses.
type sentCanaryStats map[string]map[canaryKey]*wire.Trial

// delta returns the report with only the statistics that changed since the previous call.
func (s sentCanaryStats) delta(a *wire.Account) *wire.Account {
	id := reporterID(a)
	sent := s[id]
	current := make(map[canaryKey]*wire.Trial, len(a.GetTrials()))
	var changed []*wire.Trial
	for _, t := range a.GetTrials() {
		key := canaryKeyOf(t)
		current[key] = t
		if previous := sent[key]; previous == nil || !proto.Equal(previous, t) {
			changed = append(changed, t)
		}
	}
	s[id] = current // statistics that the reporter dropped are dropped here too
	if len(current) == 0 {
		delete(s, id)
	}
	return withCanaryStats(a, changed)
}

// mergeCanaryStats merges the statistics of a report with those received before, without those
// of upgrades that have ended.
func mergeCanaryStats(previous, latest *wire.Account, upgrades map[string]register.Upgrade) *wire.Account {
	merged := map[canaryKey]*wire.Trial{}
	for _, report := range []*wire.Account{previous, latest} {
		for _, t := range report.GetTrials() {
			// Statistics of an upgrade that this controller does not know yet are kept, because an
			// entry may receive the state of an upgrade before this controller does.
			u := upgrades[t.GetService()]
			if u.Order > t.GetOrder() || u.Order == t.GetOrder() && u.Stage.Ended() {
				continue
			}
			// Counts only grow; a report that took another path may arrive late with lower
			// ones.
			key := canaryKeyOf(t)
			if old := merged[key]; old == nil || t.GetSent() >= old.GetSent() && t.GetRuns() >= old.GetRuns() && t.GetTimed() >= old.GetTimed() && t.GetFailed() >= old.GetFailed() && upgrade.Paces(t.GetPaces()).Streams() >= upgrade.Paces(old.GetPaces()).Streams() {
				merged[key] = t
			}
		}
	}
	return withCanaryStats(latest, slices.Collect(maps.Values(merged)))
}

// withCanaryStats returns a copy of the report with other statistics, because reports are
// shared and never changed.
func withCanaryStats(report *wire.Account, trials []*wire.Trial) *wire.Account {
	return &wire.Account{
		Vm:          report.GetVm(),
		Incarnation: report.GetIncarnation(),
		Entry:       report.GetEntry(),
		Recent:      report.GetRecent(),
		Trials:      trials,
		Peer:        report.GetPeer(),
		Datacentre:  report.GetDatacentre(),
	}
}

func reporterID(a *wire.Account) string { return a.GetVm() + "#" + a.GetIncarnation() }
