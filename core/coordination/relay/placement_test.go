package relay

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// The estimate grows with the prompt's size. It also includes the age of pending response heads,
// so that a queue shows before any of them is received.
func TestTimeToHeadEstimate(t *testing.T) {
	stats := &ModelStats{}
	now := time.Unix(0, 0)
	for i := range 200 {
		prompt := 1000 + 500*(i%9)
		recordHead := stats.trackPendingHead("s", "m", prompt, now)
		now = now.Add(100 * time.Millisecond)
		recordHead(now.Add(time.Duration(prompt)*50*time.Microsecond), true)
	}
	small := stats.timeToHead("s", "m", 1000, now)
	large := stats.timeToHead("s", "m", 20000, now)
	if ratio := float64(large-small) / float64(19000*50*time.Microsecond); ratio < 0.8 || ratio > 1.2 {
		t.Errorf("estimated time per token is %.2f of the actual one (1,000 tokens: %v, 20,000 tokens: %v)", ratio, small, large)
	}
	end := stats.trackPendingHead("s", "m", 1000, now)
	later := now.Add(3 * time.Second)
	if got := stats.timeToHead("s", "m", 1000, later); got < 2*time.Second {
		t.Errorf("estimate with a response head pending for 3 s: %v, want at least 2s", got)
	}
	end(later, false)
	if got := stats.timeToHead("s", "other", 1000, later); got != 0 {
		t.Errorf("estimate for an unknown model: %v, want 0", got)
	}
}

func newTargets(n int) []*Target {
	pool := &Pool{
		Clock: frozenClock{},
	}
	var list []persimmoncross.Upstream
	for i := range n {
		list = append(list, persimmoncross.Upstream{
			Name:    fmt.Sprint("u", i),
			Service: "s",
			Slots:   10,
		})
	}
	return pool.Update(list)["s"]
}

// placeByPrefix is like placeRequest, but does not return the prefix source.
func placeByPrefix(candidates []*Target, prefix string, prefillTime time.Duration, now time.Time) *Target {
	t, _ := placeRequest(candidates, newPrompt(prefix, prefillTime), now, noLinkDelay)
	return t
}

// noLinkDelay is the cost of links without loss.
func noLinkDelay(*Target) time.Duration { return 0 }

func newPrompt(prefix string, prefillTime time.Duration) placement.Prompt {
	return placement.Prompt{
		PrefixKey:         prefix,
		PrefixPrefillTime: prefillTime,
	}
}

func TestPrefixAffinityIsStable(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(6)
	preferred := map[string]string{}
	for i := range 200 {
		prefix := fmt.Sprint("part", i)
		preferred[prefix] = placeByPrefix(all, prefix, 0, now).Name
	}
	count := map[string]int{}
	for prefix, id := range preferred {
		if again := placeByPrefix(all, prefix, 0, now).Name; again != id {
			t.Fatalf("%s moved from %s to %s", prefix, id, again)
		}
		count[id]++
	}
	for id, n := range count {
		if n > 2*len(preferred)/len(all) {
			t.Errorf("%s is the preferred upstream of %d prompts of %d", id, n, len(preferred))
		}
	}
	// If one upstream is removed, only the prompts that preferred it move.
	gone := all[0].Name
	for prefix, id := range preferred {
		if got := placeByPrefix(all[1:], prefix, 0, now).Name; id != gone && got != id {
			t.Errorf("%s moved from %s to %s, but only %s was removed", prefix, id, got, gone)
		}
	}
}

func TestPlacementLeavesBusyTarget(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(4)
	preferred := placeByPrefix(all, "part", 0, now)
	for range 9 {
		preferred.inFlight.Add(1)
	}
	if got := placeByPrefix(all, "part", 0, now); got == preferred {
		t.Error("a preferred upstream with 9 of 10 slots in use gets another request, though the others are idle")
	}
	preferred.inFlight.Store(0)
	recordHead := preferred.trackPendingHead(now, 0)
	later := now.Add(2 * time.Second)
	if got := placeByPrefix(all, "part", 0, later); got == preferred {
		t.Error("a preferred upstream that has sent no response head for 2 s gets another request")
	}
	recordHead(later, true)
	if got := placeByPrefix(all, "part", 0, later.Add(time.Minute)); got != preferred {
		t.Error("the preferred upstream is not used again after its queue is gone")
	}
}

// All entries must choose the same version for a session, whatever sessions each of them has
// recorded. A session that an upgrade has moved must not move back while the upgrade advances.
func TestSessionsUnderUpgrade(t *testing.T) {
	now := time.Unix(100, 0)
	const share = 0.09
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
	}
	moved := map[string]bool{}
	onCanary := 0
	for _, stage := range []register.Stage{register.Prepare, register.Trial, register.Shift, register.Completed} {
		u.Stage = stage
		for i := range 2000 {
			session := fmt.Sprint("session", i)
			one := (&Sessions{}).chooseVersions(u, session, "a", equalShares(share), false, now)
			other := (&Sessions{}).chooseVersions(u, session, "b", equalShares(share), false, now)
			if !reflect.DeepEqual(one, other) {
				t.Fatalf("stage %s: entries choose different versions for %s", stage, session)
			}
			if moved[session] && !one.targetOnly {
				t.Fatalf("stage %s: %s moves back to the old version", stage, session)
			}
			moved[session] = one.targetOnly
			if stage == register.Trial && one.targetOnly {
				onCanary++
			}
		}
	}
	if onCanary < 100 || onCanary > 260 {
		t.Errorf("%d of 2000 sessions run on the canary, want about %.0f", onCanary, 2000*share)
	}
	u.Stage = register.Withdrawn
	if filter := (&Sessions{}).chooseVersions(u, "session1", "a", equalShares(share), false, now); filter.targetOnly || !filter.strict {
		t.Error("a withdrawn version may get requests")
	}
	u.Stage = register.Trial
	for i := range 500 {
		if filter := (&Sessions{}).chooseVersions(u, fmt.Sprint(i), "a", equalShares(share), true, now); filter.targetOnly || !filter.strict {
			t.Fatal("a halted version may get requests")
		}
	}
}

// A session that runs on the old version when the trial begins stays there until it has been
// idle for IdleTimeout.
func TestCanaryKeepsRunningSessions(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Sessions{
		IdleTimeout: 5 * time.Second,
	}
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
		Stage:   register.Trial,
	}
	session := ""
	for i := 0; session == ""; i++ {
		if name := fmt.Sprint(i); s.chooseVersions(u, name, "a", equalShares(0.1), false, now).targetOnly {
			session = name
		}
	}
	endRun := s.BeginRun("s", session, "v1", now)
	if s.chooseVersions(u, session, "a", equalShares(0.1), false, now.Add(time.Minute)).targetOnly {
		t.Error("a session was moved while its request was running")
	}
	endRun(now.Add(time.Minute))
	if s.chooseVersions(u, session, "a", equalShares(0.1), false, now.Add(time.Minute+4*time.Second)).targetOnly {
		t.Error("a session was moved before its idle timeout")
	}
	if !s.chooseVersions(u, session, "a", equalShares(0.1), false, now.Add(time.Minute+6*time.Second)).targetOnly {
		t.Error("a session was not moved to the canary after its idle timeout")
	}
}

// Failures are counted by version and route. A few failures make the entry itself halt the
// canary.
func TestCanaryFailuresHaltEntry(t *testing.T) {
	stats := &CanaryStats{}
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   7,
	}
	oldKey := CanaryKey{
		Service:      "s",
		Version:      "v1",
		Route:        "r",
		UpgradeOrder: 7,
	}
	newKey := oldKey
	newKey.Version = "v2"
	for i := range 20 {
		stats.recordResult(&u, oldKey, false)
		stats.recordDuration(&u, oldKey, 100*time.Millisecond)
		stats.recordResult(&u, newKey, i%2 == 0)
	}
	if !stats.isHalted(u) {
		t.Error("the canary is not halted after 10 failures of 20 executions")
	}
	old := stats.Counts()[oldKey]
	if old.Executions != 20 || old.Failed != 0 || old.DurationCount != 20 || math.Abs(old.DurationSum-2) > 1e-9 || math.Abs(old.DurationSquareSum-0.2) > 1e-9 {
		t.Errorf("count of the old version: %+v", old)
	}
	stats.Prune(map[uint64]bool{})
	if len(stats.Counts()) != 0 || stats.isHalted(u) {
		t.Error("counts of an upgrade that has ended are kept")
	}
}

// The state that this entry keeps for an upstream survives a change of the list.
func TestPoolKeepsTargetState(t *testing.T) {
	var gone []string
	p := &Pool{
		Clock:     frozenClock{},
		OnRemoved: func(id string) { gone = append(gone, id) },
	}
	u := persimmoncross.Upstream{
		Name:    "u",
		Service: "s",
		Slots:   4,
	}
	first := p.Update([]persimmoncross.Upstream{u})["s"][0]
	first.inFlight.Add(3)
	u.Draining = true
	second := p.Update([]persimmoncross.Upstream{u})["s"][0]
	if !second.IsDraining(time.Unix(0, 0)) || second.inFlight.Load() != 3 {
		t.Errorf("draining = %v with %d requests in flight, want true with 3", second.IsDraining(time.Unix(0, 0)), second.inFlight.Load())
	}
	first.inFlight.Add(-3)
	if n := second.inFlight.Load(); n != 0 {
		t.Errorf("%d requests in flight after the last one ended", n)
	}
	p.Update(nil)
	if len(gone) != 1 || gone[0] != u.InstanceID() {
		t.Errorf("OnRemoved was called with %v, want one call with the instance ID", gone)
	}
}

// A session that ran on the old version at any entry before the trial stays on that version at
// all entries.
func TestPinnedSessionsStayAtAllEntries(t *testing.T) {
	now := time.Unix(100, 0)
	const share = 0.2
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
		Stage:   register.Prepare,
	}
	one := &Sessions{
		IdleTimeout: 5 * time.Second,
	}
	for i := range 200 {
		one.BeginRun("s", fmt.Sprint("session", i), "v1", now)(now)
		if one.chooseVersions(u, fmt.Sprint("session", i), "a", equalShares(share), false, now).targetOnly {
			t.Fatal("a session runs on the canary while the trial is prepared")
		}
	}
	u.Kept = one.SessionsToPin(u, share, now.Add(time.Second))
	if n := len(u.Kept); n < 20 || n > 60 {
		t.Errorf("%d of 200 sessions are pinned, want about %.0f", n, 200*share)
	}
	u.Stage = register.Trial
	other := &Sessions{
		IdleTimeout: 5 * time.Second,
	}
	onCanary := 0
	for i := range 400 {
		onTarget := other.chooseVersions(u, fmt.Sprint("session", i), "a", equalShares(share), false, now.Add(2*time.Second)).targetOnly
		if i < 200 && onTarget {
			t.Errorf("pinned session %d was moved at another entry", i)
		}
		if onTarget {
			onCanary++
		}
	}
	if onCanary == 0 {
		t.Error("no new session runs on the canary")
	}
	if n := len(one.SessionsToPin(u, share, now.Add(time.Minute))); n != 0 {
		t.Errorf("%d idle sessions are pinned, want none", n)
	}
}

// The sessions that a trial keeps already are not reported again, so that the report of an entry
// during the trial lists only those that began too late.
func TestOnlyUnkeptSessionsArePinned(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Sessions{
		IdleTimeout: 5 * time.Second,
	}
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
		Stage:   register.Prepare,
	}
	s.BeginRun("s", "early", "v1", now)(now)
	u.Kept = s.SessionsToPin(u, 1, now)
	u.Stage = register.Trial
	s.BeginRun("s", "late", "v1", now)(now)
	s.BeginRun("s", "moved", "v2", now)(now)
	if got := s.SessionsToPin(u, 1, now); len(got) != 1 || got[0] != SessionHash("late") {
		t.Errorf("got %v, want only the hash of the late session", got)
	}
}

// A request that waits at the entry while the trial begins runs on the version that the other
// entries choose then, not on the version that was right when it arrived.
func TestVersionIsChosenAfterWait(t *testing.T) {
	e := newTestEnv()
	for _, target := range e.targets[2:] {
		target.Version = "v2"
	}
	u := register.Upgrade{
		Service: testService,
		Target:  "v2",
	}
	newCall := func(session string) *call {
		return &call{
			relay:   e.relay,
			route:   e.view.Catalog.Route("h", "/stream/x"),
			service: testService,
			request: &persimmoncross.ProxyRequest{
				SessionID: session,
			},
		}
	}
	moved, kept := "", ""
	for i := 0; kept == ""; i++ {
		if name := fmt.Sprint(i); hashFraction(testService, name, "") >= 0.01 {
			continue
		} else if moved == "" {
			moved = name
		} else {
			kept = name
		}
	}
	u.Kept = []uint64{SessionHash(kept)}
	for _, tt := range []struct {
		session string
		stages  []register.Stage
		want    []string
	}{
		{moved, []register.Stage{register.Prepare, register.Trial, register.Withdrawn}, []string{"v1", "v2", "v1"}},
		{kept, []register.Stage{register.Prepare, register.Trial, register.Shift}, []string{"v1", "v1", "v2"}},
	} {
		c := newCall(tt.session)
		for i, stage := range tt.stages {
			u.Stage = stage
			e.view.Upgrades[testService] = u
			for range 10 { // the pick among equal upstreams is random
				target := c.pickTarget(persimmoncross.QuarantineNone)
				if target == nil || target.Version != tt.want[i] {
					t.Fatalf("session %s in stage %s: picked %v, want an upstream of %s", tt.session, stage, target, tt.want[i])
				}
			}
		}
	}
}

func equalShares(share float64) upgrade.Shares {
	return upgrade.Shares{
		Requests: share,
		Sessions: share,
	}
}

// While no controller is reached, an unproven version must not keep all requests in the shift, and the new
// version's upstreams must serve once the old one's have stopped.
func TestStaleUpgradeUsesProvenVersion(t *testing.T) {
	for _, stage := range []register.Stage{register.Prepare, register.Trial, register.Shift} {
		for _, oldRuns := range []bool{true, false} {
			e := newTestEnv()
			for i, target := range e.targets {
				if i >= 2 || !oldRuns {
					target.Version = "v2"
				}
			}
			e.view.UpgradesStale = true
			e.view.Upgrades[testService] = register.Upgrade{
				Service: testService,
				Target:  "v2",
				Stage:   stage,
				Share:   1,
			}
			want := "v2"
			if oldRuns {
				want = "v1"
			}
			e.serve(t, "safe", nil)
			if a := e.forwarder.attempts; len(a) == 0 || a[0].Upstream.Version != want {
				t.Errorf("stage %s, old version runs = %v: %d attempts, want the first on %s", stage, oldRuns, len(a), want)
			}
		}
	}
	for _, targetOnly := range []bool{true, false} {
		filter := versionFilter{
			version:    "v2",
			targetOnly: targetOnly,
			strict:     true,
		}
		if got := chooseStale(filter, "session"); got.targetOnly != targetOnly {
			t.Errorf("a session is moved from the version that all entries choose for it: %+v", got)
		}
	}
}
