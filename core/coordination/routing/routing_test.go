package routing

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// fakeClock is a clock that the test sets.
type fakeClock struct {
	persimmoncross.SystemClock
	now time.Time
}

// Now implements [persimmoncross.Clock].
func (c *fakeClock) Now() time.Time { return c.now }

// A failing version must not open the upstream's circuit breakers for other versions.
func TestBreakerIsPerVersion(t *testing.T) {
	clock := &fakeClock{
		now: time.Unix(1000, 0),
	}
	u := &Upstream{
		clock: clock,
	}
	bad := persimmoncross.ModelVersion{
		Model: "bad",
	}
	for u.Breaker(bad).Allows() {
		u.Breaker(bad).StartAttempt()
		u.Breaker(bad).RecordOutcome(true)
	}
	good := persimmoncross.ModelVersion{
		Model: "good",
	}
	if !u.Breaker(good).Allows() || u.Breaker(good).IsOpen() {
		t.Error("the circuit breaker of another version is open")
	}
	if !u.HasOpenBreaker() {
		t.Error("HasOpenBreaker returned false with an open circuit breaker")
	}
	clock.now = clock.now.Add(time.Minute)
	u.Breaker(bad).StartAttempt()
	u.Breaker(bad).AbandonProbe()
	if !u.Breaker(bad).Allows() {
		t.Error("no probe is allowed after an abandoned probe")
	}
	u.Breaker(bad).RecordOutcome(false)
	if u.HasOpenBreaker() || u.Breaker(bad).ErrorRate() == 0 {
		t.Error("a successful probe did not close the circuit breaker, or reset the error rate")
	}
}

// A prompt must have the same affinity upstream at every entry, and another one only after
// its upstream was removed.
func TestPromptAffinity(t *testing.T) {
	prompt := make([]byte, 4096)
	moved := 0
	for i := range 100 {
		prompt[0] = byte(i)
		blocks := prefixHashes(prompt)
		all, other := newTable(10).List(), newTable(10).List()
		affinity := affinityUpstream(all, blocks)
		if got := affinityUpstream(other, blocks); got.Name != affinity.Name {
			t.Fatalf("affinity upstream is %s at one entry, %s at another", affinity.Name, got.Name)
		}
		if got := affinityUpstream(all[1:], blocks); got.Name != affinity.Name {
			moved++
			if affinity != all[0] {
				t.Error("the affinity upstream changed although it was not removed")
			}
		}
	}
	if moved == 0 || moved > 30 {
		t.Errorf("%d of 100 prompts had the same one of 10 upstreams, want 1 to 30", moved)
	}
	if affinityUpstream(newTable(3).List(), prefixHashes(prompt[:100])) != nil {
		t.Error("a short prompt has an affinity upstream")
	}
}

// An upstream that returns under its old name at another address must start without the state
// of the earlier one.
func TestNewAddressResetsUpstream(t *testing.T) {
	table := newTable(2)
	before := table.List()[0]
	before.SetDraining(true)
	file := func(n int) *settings.Snapshot {
		f := &settings.File{
			Upstreams: map[string]*settings.Upstream{},
		}
		for _, u := range newTable(n).List() {
			f.Upstreams[u.Name] = u.settings
		}
		return &settings.Snapshot{
			File: f,
		}
	}
	same := file(2)
	table.Update(same)
	if table.List()[0] != before {
		t.Error("an unchanged upstream was replaced")
	}
	changed := file(2)
	changed.File.Upstreams[before.Name].Address = changed.File.Upstreams[table.List()[1].Name].Address
	table.Update(changed)
	if after := table.List()[0]; after == before || after.Draining() {
		t.Error("an upstream at another address kept its state")
	}
}

// An evacuated data centre must get no requests, neither isolated ones nor those that were
// tried at all other upstreams.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	table := newTable(4)
	list := table.List()
	file := &settings.File{
		Upstreams: map[string]*settings.Upstream{},
	}
	var names []string
	for i, u := range list {
		x := *u.settings
		x.DataCentre = fmt.Sprint("d", i%2)
		file.Upstreams[u.Name] = &x
		names = append(names, u.Name)
	}
	table.Update(&settings.Snapshot{
		File:      file,
		Evacuated: map[string]bool{"d0": true},
	})
	tried := map[string]bool{
		names[1]: true,
		names[3]: true,
	}
	for i := range 50 {
		for _, c := range []PickInfo{
			{ServiceUpstreams: names},
			{ServiceUpstreams: names, TriedUpstreams: tried},
			{ServiceUpstreams: names, IsolatedDigest: persimmoncross.Digest{byte(i + 1)}},
		} {
			if u := table.Pick(c); u == nil || u.DataCentre() != "d1" {
				t.Fatalf("Pick(%+v) returned %+v, want an upstream in d1", c, u)
			}
		}
	}
	table.Update(&settings.Snapshot{
		File:      file,
		Evacuated: map[string]bool{"d0": true, "d1": true},
	})
	if u := table.Pick(PickInfo{ServiceUpstreams: names}); u != nil {
		t.Errorf("Pick returned %s although all data centres are evacuated", u.Name)
	}
}

// An isolated request must wait while the upstream reserved for it is in a backoff, because
// at another upstream it might crash that one too.
func TestIsolatedRequestWaitsForReservedUpstream(t *testing.T) {
	table := newTable(4)
	var names []string
	for _, u := range table.List() {
		names = append(names, u.Name)
	}
	isolated := PickInfo{
		ServiceUpstreams: names,
		IsolatedDigest:   persimmoncross.Digest{1},
	}
	reserved := table.Pick(isolated)
	reserved.SetBackoff(table.Clock.Now().Add(time.Hour))
	if u := table.Pick(isolated); u != nil {
		t.Errorf("the isolated request was sent to %s, want none while %s is in a backoff", u.Name, reserved.Name)
	}
	for range 20 {
		if u := table.Pick(PickInfo{ServiceUpstreams: names}); u == nil || u == reserved {
			t.Errorf("another request was sent to %v while %s is in a backoff", u, reserved.Name)
		}
	}
}
