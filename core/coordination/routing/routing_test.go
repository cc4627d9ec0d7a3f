package routing

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// fakeClock moves when the test says so.
type fakeClock struct {
	persimmoncross.SystemClock
	now time.Time
}

// Now implements [persimmoncross.Clock].
func (c *fakeClock) Now() time.Time { return c.now }

// A version that fails takes the upstream from no other version.
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
		u.Breaker(bad).Begin()
		u.Breaker(bad).RecordResult(true)
	}
	good := persimmoncross.ModelVersion{
		Model: "good",
	}
	if !u.Breaker(good).Allows() || u.Breaker(good).IsOpen() {
		t.Error("another version is kept away")
	}
	if !u.HasOpenBreaker() {
		t.Error("the upstream does not tell of its version")
	}
	clock.now = clock.now.Add(time.Minute)
	u.Breaker(bad).Begin()
	u.Breaker(bad).Abandon()
	if !u.Breaker(bad).Allows() {
		t.Error("no probe after one without a verdict")
	}
	u.Breaker(bad).RecordResult(false)
	if u.HasOpenBreaker() || u.Breaker(bad).ErrorRate() == 0 {
		t.Error("a good probe does not end it, or its share of failures is lost")
	}
}

// The home of a prompt is the same at every entry, and moves only from an
// upstream that is gone.
func TestPromptAffinity(t *testing.T) {
	prompt := make([]byte, 4096)
	moved := 0
	for i := range 100 {
		prompt[0] = byte(i)
		blocks := prefixHashes(prompt)
		all, other := newTable(10).List(), newTable(10).List()
		home := affinityUpstream(all, blocks)
		if got := affinityUpstream(other, blocks); got.Name != home.Name {
			t.Fatalf("home %s at one entry, %s at another", home.Name, got.Name)
		}
		if got := affinityUpstream(all[1:], blocks); got.Name != home.Name {
			moved++
			if home != all[0] {
				t.Error("a home moved although its upstream stayed")
			}
		}
	}
	if moved == 0 || moved > 30 {
		t.Errorf("%d of 100 homes were at one of 10 upstreams", moved)
	}
	if affinityUpstream(newTable(3).List(), prefixHashes(prompt[:100])) != nil {
		t.Error("a short prompt has a home")
	}
}

// An upstream that comes back under its old name at another address is a new
// one: nothing of what was known of the former holds for it.
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
		t.Error("an upstream that stayed is new")
	}
	changed := file(2)
	changed.File.Upstreams[before.Name].Address = changed.File.Upstreams[table.List()[1].Name].Address
	table.Update(changed)
	if after := table.List()[0]; after == before || after.Draining() {
		t.Error("an upstream at another address is taken for the former")
	}
}

// Nothing goes to an evacuated data centre, neither what is suspect nor what was tried
// everywhere else; and it counts as no capacity.
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
				t.Fatalf("%+v: %+v", c, u)
			}
		}
	}
	table.Update(&settings.Snapshot{
		File:      file,
		Evacuated: map[string]bool{"d0": true, "d1": true},
	})
	if u := table.Pick(PickInfo{ServiceUpstreams: names}); u != nil {
		t.Errorf("all are evacuated, and %s gets work", u.Name)
	}
}

// A request under suspicion waits for its own upstream while that is in a backoff:
// elsewhere it would end another one.
func TestSuspectRequestWaitsForItsUpstream(t *testing.T) {
	table := newTable(4)
	var names []string
	for _, u := range table.List() {
		names = append(names, u.Name)
	}
	suspect := PickInfo{
		ServiceUpstreams: names,
		IsolatedDigest:   persimmoncross.Digest{1},
	}
	home := table.Pick(suspect)
	home.SetBackoff(table.Clock.Now().Add(time.Hour))
	if u := table.Pick(suspect); u != nil {
		t.Errorf("it is sent to %s, and its own is %s", u.Name, home.Name)
	}
	for range 20 {
		if u := table.Pick(PickInfo{ServiceUpstreams: names}); u == nil || u == home {
			t.Errorf("another request is sent to %v, and %s is in a backoff", u, home.Name)
		}
	}
}
