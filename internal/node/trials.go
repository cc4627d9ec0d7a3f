package node

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// canaryKey names what a count of an account counts.
type canaryKey struct {
	service string
	version string
	route   string
	order   uint64
}

func canaryKeyOf(t *wire.Trial) canaryKey {
	return canaryKey{
		service: t.GetService(),
		version: t.GetVersion(),
		route:   t.GetRoute(),
		order:   t.GetOrder(),
	}
}

// sentCanaryStats is what a stream has been told: counts by the account's VM and
// incarnation. While an upgrade runs, an account of all routes twice a second
// would cost 60 bytes for each of thousands, of which some tens had answers.
type sentCanaryStats map[string]map[canaryKey]*wire.Trial

// delta returns the account with the counts that the stream lacks.
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
	s[id] = current // what the sender has forgotten is forgotten here
	if len(current) == 0 {
		delete(s, id)
	}
	return withCanaryStats(a, changed)
}

// mergeCanaryStats puts the counts of an account over those that were told before, but for
// those of upgrades that are over.
func mergeCanaryStats(previous, latest *wire.Account, upgrades map[string]register.Upgrade) *wire.Account {
	merged := map[canaryKey]*wire.Trial{}
	for _, report := range []*wire.Account{previous, latest} {
		for _, t := range report.GetTrials() {
			// An entry may know of an upgrade sooner than this controller.
			u := upgrades[t.GetService()]
			if u.Order > t.GetOrder() || u.Order == t.GetOrder() && u.Stage.Ended() {
				continue
			}
			// Counts only grow; one that was told on another way may come late.
			key := canaryKeyOf(t)
			if old := merged[key]; old == nil || t.GetRuns() >= old.GetRuns() && t.GetTimed() >= old.GetTimed() {
				merged[key] = t
			}
		}
	}
	return withCanaryStats(latest, slices.Collect(maps.Values(merged)))
}

// withCanaryStats returns the account with other counts: accounts are shared and
// never changed.
func withCanaryStats(a *wire.Account, trials []*wire.Trial) *wire.Account {
	return &wire.Account{
		Vm:          a.GetVm(),
		Incarnation: a.GetIncarnation(),
		Entry:       a.GetEntry(),
		Recent:      a.GetRecent(),
		Trials:      trials,
	}
}

func reporterID(a *wire.Account) string { return a.GetVm() + "#" + a.GetIncarnation() }
