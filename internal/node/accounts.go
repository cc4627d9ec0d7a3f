package node

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// trialKey names what a count of an account counts.
type trialKey struct {
	service string
	version string
	route   string
	order   uint64
}

func trialKeyOf(t *wire.Trial) trialKey {
	return trialKey{
		service: t.GetService(),
		version: t.GetVersion(),
		route:   t.GetRoute(),
		order:   t.GetOrder(),
	}
}

// sentTrials is what a stream has been told: counts by the account's VM and
// incarnation. While an upgrade runs, an account of all routes twice a second
// would cost 60 bytes for each of thousands, of which some tens had answers.
type sentTrials map[string]map[trialKey]*wire.Trial

// delta returns the account with the counts that the stream lacks.
func (s sentTrials) delta(a *wire.Account) *wire.Account {
	id := reporterID(a)
	sent := s[id]
	current := make(map[trialKey]*wire.Trial, len(a.GetTrials()))
	var changed []*wire.Trial
	for _, t := range a.GetTrials() {
		key := trialKeyOf(t)
		current[key] = t
		if previous := sent[key]; previous == nil || !proto.Equal(previous, t) {
			changed = append(changed, t)
		}
	}
	s[id] = current // what the sender has forgotten is forgotten here
	if len(current) == 0 {
		delete(s, id)
	}
	return withTrials(a, changed)
}

// mergeTrials puts the counts of an account over those that were told before, but for
// those of upgrades that are over.
func mergeTrials(previous, latest *wire.Account, upgrades map[string]register.Upgrade) *wire.Account {
	merged := map[trialKey]*wire.Trial{}
	for _, report := range []*wire.Account{previous, latest} {
		for _, t := range report.GetTrials() {
			// An entry may know of an upgrade sooner than this controller.
			u := upgrades[t.GetService()]
			if u.Order > t.GetOrder() || u.Order == t.GetOrder() && u.Stage.Ended() {
				continue
			}
			// Counts only grow; one that was told on another way may come late.
			key := trialKeyOf(t)
			if old := merged[key]; old == nil || t.GetRuns() >= old.GetRuns() && t.GetTimed() >= old.GetTimed() {
				merged[key] = t
			}
		}
	}
	return withTrials(latest, slices.Collect(maps.Values(merged)))
}

// withTrials returns the account with other counts: accounts are shared and
// never changed.
func withTrials(a *wire.Account, trials []*wire.Trial) *wire.Account {
	return &wire.Account{
		Vm:          a.GetVm(),
		Incarnation: a.GetIncarnation(),
		Entry:       a.GetEntry(),
		Recent:      a.GetRecent(),
		Trials:      trials,
	}
}

func reporterID(a *wire.Account) string { return a.GetVm() + "#" + a.GetIncarnation() }
