package relay

import (
	"fmt"
	"math"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/state/register"
)

// The estimate follows the prompt's size, and sees a queue in the heads that
// are awaited before any of them has come.
func TestTimeToHeadEstimate(t *testing.T) {
	p := &ModelStats{}
	now := time.Unix(0, 0)
	for i := range 200 {
		prompt := 1000 + 500*(i%9)
		recordHead := p.awaitHead("s", "m", prompt, now)
		now = now.Add(100 * time.Millisecond)
		recordHead(now.Add(time.Duration(prompt)*50*time.Microsecond), true)
	}
	small := p.timeToHead("s", "m", 1000, now)
	large := p.timeToHead("s", "m", 20000, now)
	if ratio := float64(large-small) / float64(19000*50*time.Microsecond); ratio < 0.8 || ratio > 1.2 {
		t.Errorf("a token adds %.2f of its time (small %v, large %v)", ratio, small, large)
	}
	end := p.awaitHead("s", "m", 1000, now)
	later := now.Add(3 * time.Second)
	if got := p.timeToHead("s", "m", 1000, later); got < 2*time.Second {
		t.Errorf("a head that is awaited for 3 s gives an estimate of %v", got)
	}
	end(later, false)
	if got := p.timeToHead("s", "other", 1000, later); got != 0 {
		t.Errorf("an unknown model begins in %v", got)
	}
}

func newTargets(n int) []*Target {
	pool := &Pool{
		Clock: frozenClock{},
	}
	var list []persimmoncross.Upstream
	for i := range n {
		list = append(list, persimmoncross.Upstream{
			Incarnation: fmt.Sprint("u", i),
			Service:     "s",
			Slots:       10,
		})
	}
	return pool.Update(list)["s"]
}

// placeByPrefix is place without what the target copies from.
func placeByPrefix(candidates []*Target, prefix string, reread time.Duration, now time.Time) *Target {
	t, _ := placeRequest(candidates, newPrompt(prefix, reread), now, noLinkCost)
	return t
}

// noLinkCost is the cost of links that lose nothing.
func noLinkCost(*Target) time.Duration { return 0 }

func newPrompt(prefix string, reread time.Duration) placement.Prompt {
	return placement.Prompt{
		PrefixKey:         prefix,
		PrefixPrefillTime: reread,
	}
}

func TestPrefixAffinityIsStable(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(6)
	homes := map[string]string{}
	for i := range 200 {
		home := fmt.Sprint("part", i)
		homes[home] = placeByPrefix(all, home, 0, now).Incarnation
	}
	count := map[string]int{}
	for home, id := range homes {
		if again := placeByPrefix(all, home, 0, now).Incarnation; again != id {
			t.Fatalf("%s moved from %s to %s", home, id, again)
		}
		count[id]++
	}
	for id, n := range count {
		if n > 2*len(homes)/len(all) {
			t.Errorf("%s is the home of %d of %d", id, n, len(homes))
		}
	}
	// With one upstream gone only its own prompts move.
	gone := all[0].Incarnation
	for home, id := range homes {
		if got := placeByPrefix(all[1:], home, 0, now).Incarnation; id != gone && got != id {
			t.Errorf("%s moved from %s to %s though %s was lost", home, id, got, gone)
		}
	}
}

func TestPlacementLeavesBusyTarget(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(4)
	home := placeByPrefix(all, "part", 0, now)
	for range 9 {
		home.inFlight.Add(1)
	}
	if got := placeByPrefix(all, "part", 0, now); got == home {
		t.Error("a home with 9 of 10 slots in use takes more, though the others are idle")
	}
	home.inFlight.Store(0)
	recordHead := home.awaitHead(now, 0)
	later := now.Add(2 * time.Second)
	if got := placeByPrefix(all, "part", 0, later); got == home {
		t.Error("a home that has not begun an answer for 2 s takes more")
	}
	recordHead(later, true)
	if got := placeByPrefix(all, "part", 0, later.Add(time.Minute)); got != home {
		t.Error("the home is not found again after the queue is gone")
	}
}

// All entries must place a session alike, whatever each of them remembers, and
// a session that an upgrade has moved must not go back while it goes well.
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
			one := (&Sessions{}).chooseVersions(u, session, "a", share, false, now)
			other := (&Sessions{}).chooseVersions(u, session, "b", share, false, now)
			if one != other {
				t.Fatalf("%s: entries differ on %s", stage, session)
			}
			if moved[session] && !one.targetOnly {
				t.Fatalf("%s: %s goes back", stage, session)
			}
			moved[session] = one.targetOnly
			if stage == register.Trial && one.targetOnly {
				onCanary++
			}
		}
	}
	if onCanary < 100 || onCanary > 260 {
		t.Errorf("%d of 2000 sessions are on trial, want about %.0f", onCanary, 2000*share)
	}
	u.Stage = register.Withdrawn
	if g := (&Sessions{}).chooseVersions(u, "session1", "a", share, false, now); g.targetOnly || !g.strict {
		t.Error("a withdrawn version is allowed")
	}
	u.Stage = register.Trial
	for i := range 500 {
		if g := (&Sessions{}).chooseVersions(u, fmt.Sprint(i), "a", share, true, now); g.targetOnly || !g.strict {
			t.Fatal("a braked version is allowed")
		}
	}
}

// A session that runs on the old version when the trial begins stays there
// until it has been idle.
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
		if name := fmt.Sprint(i); s.chooseVersions(u, name, "a", 0.1, false, now).targetOnly {
			session = name
		}
	}
	endRun := s.BeginRun("s", session, "v1", now)
	if s.chooseVersions(u, session, "a", 0.1, false, now.Add(time.Minute)).targetOnly {
		t.Error("a session was moved while its request ran")
	}
	endRun(now.Add(time.Minute))
	if s.chooseVersions(u, session, "a", 0.1, false, now.Add(time.Minute+4*time.Second)).targetOnly {
		t.Error("a session was moved before it was idle")
	}
	if !s.chooseVersions(u, session, "a", 0.1, false, now.Add(time.Minute+6*time.Second)).targetOnly {
		t.Error("an idle session does not take part in the trial")
	}
}

// Failures count by version and route; a few of them brake the entry itself.
func TestCanaryFailuresHaltEntry(t *testing.T) {
	e := &CanaryStats{}
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
		e.recordResult(&u, oldKey, false)
		e.recordDuration(&u, oldKey, 100*time.Millisecond)
		e.recordResult(&u, newKey, i%2 == 0)
	}
	if !e.isHalted(u) {
		t.Error("10 failures of 20 do not brake")
	}
	old := e.Counts()[oldKey]
	if old.Executions != 20 || old.Failed != 0 || old.DurationCount != 20 || math.Abs(old.DurationSum-2) > 1e-9 || math.Abs(old.DurationSquareSum-0.2) > 1e-9 {
		t.Errorf("the old version's count is %+v", old)
	}
	e.Prune(map[uint64]bool{})
	if len(e.Counts()) != 0 || e.isHalted(u) {
		t.Error("an upgrade that is over is still counted")
	}
}

// What this entry knows of an upstream outlives a change of the list.
func TestPoolKeepsTargetState(t *testing.T) {
	var gone []string
	p := &Pool{
		Clock:     frozenClock{},
		OnRemoved: func(id string) { gone = append(gone, id) },
	}
	u := persimmoncross.Upstream{
		Incarnation: "u",
		Service:     "s",
		Slots:       4,
	}
	first := p.Update([]persimmoncross.Upstream{u})["s"][0]
	first.inFlight.Add(3)
	u.Draining = true
	second := p.Update([]persimmoncross.Upstream{u})["s"][0]
	if !second.IsDraining(time.Unix(0, 0)) || second.inFlight.Load() != 3 {
		t.Errorf("leaves %v, %d in flight", second.IsDraining(time.Unix(0, 0)), second.inFlight.Load())
	}
	first.inFlight.Add(-3)
	if n := second.inFlight.Load(); n != 0 {
		t.Errorf("%d in flight after the end", n)
	}
	p.Update(nil)
	if len(gone) != 1 || gone[0] != u.InstanceID() {
		t.Errorf("gone: %v", gone)
	}
}

// A session that ran on the old version at any entry before the trial stays
// there at all of them.
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
		if one.chooseVersions(u, fmt.Sprint("session", i), "a", share, false, now).targetOnly {
			t.Fatal("a session is on trial while the trial is prepared")
		}
	}
	u.Kept = one.SessionsToPin(u, share, now.Add(time.Second))
	if n := len(u.Kept); n < 20 || n > 60 {
		t.Errorf("%d of 200 sessions are kept, want about %.0f", n, 200*share)
	}
	u.Stage = register.Trial
	other := &Sessions{
		IdleTimeout: 5 * time.Second,
	}
	onCanary := 0
	for i := range 400 {
		only := other.chooseVersions(u, fmt.Sprint("session", i), "a", share, false, now.Add(2*time.Second)).targetOnly
		if i < 200 && only {
			t.Errorf("session %d was moved at another entry", i)
		}
		if only {
			onCanary++
		}
	}
	if onCanary == 0 {
		t.Error("no new session takes part in the trial")
	}
	if n := len(one.SessionsToPin(u, share, now.Add(time.Minute))); n != 0 {
		t.Errorf("%d idle sessions are kept", n)
	}
}
