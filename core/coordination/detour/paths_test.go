package detour

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80)
}

func newPaths(peers int) *Paths {
	p := &Paths{}
	var list []Peer
	for i := range peers {
		list = append(list, Peer{
			Name:       fmt.Sprint("p", i),
			DataCentre: string(rune('a' + i%2)),
		})
	}
	p.SetPeers(list)
	return p
}

// The direct path comes first until another VM has reached an upstream that this one has not, and
// again after a while or after a direct connection.
func TestPlan(t *testing.T) {
	p := newPaths(3)
	first := Plan{Direct: true, Detour: true, DetourDelay: openDelay}
	if got := p.Plan(address(1), start); got != first {
		t.Fatalf("at first: %+v", got)
	}
	if got := newPaths(0).Plan(address(1), start); got != (Plan{Direct: true, DetourDelay: openDelay}) {
		t.Errorf("without peers: %+v", got)
	}
	p.DetourOpened(address(1), "p0", start)
	if got := p.Plan(address(1), start); got != (Plan{Detour: true}) {
		t.Errorf("after a detour: %+v", got)
	}
	if got := p.Plan(address(2), start); got != first {
		t.Errorf("another upstream: %+v", got)
	}
	later := start.Add(initialLostDuration)
	if got := p.Plan(address(1), later); got != (Plan{Direct: true, Detour: true}) {
		t.Errorf("after the lost duration: %+v", got)
	}
	p.DetourOpened(address(1), "p0", later)
	if got := p.Plan(address(1), later.Add(2*initialLostDuration-1)); got.Direct {
		t.Errorf("the lost duration does not double: %+v", got)
	}
	p.DirectOpened(address(1), later)
	if got := p.Plan(address(1), later); got != first {
		t.Errorf("after a direct connection: %+v", got)
	}
}

// An upstream that refuses other VMs too is down: it is not asked for again through them for a
// while, and no path counts as lost.
func TestUpstreamIsDown(t *testing.T) {
	p := newPaths(3)
	p.DetourRefused(address(1), start)
	if got := p.Plan(address(1), start); got.Detour || !got.Direct {
		t.Errorf("right after: %+v", got)
	}
	if got := p.Plan(address(1), start.Add(downDuration)); !got.Detour {
		t.Errorf("later: %+v", got)
	}
	if p.HasLost(address(1), start) || p.HasLostAll() {
		t.Error("the path counts as lost")
	}
}

// The paths to all upstreams count as lost only once a verification has opened no direct connection,
// and until one opens.
func TestAllPathsLost(t *testing.T) {
	p := newPaths(3)
	p.DirectOpened(address(9), start)
	now := start.Add(time.Second)
	if p.DetourOpened(address(1), "p0", now) {
		t.Fatal("one upstream is enough")
	}
	if !p.DetourOpened(address(2), "p0", now) || p.HasLostAll() {
		t.Fatal("two upstreams are not verified, or not before they count")
	}
	if p.DetourOpened(address(3), "p0", now) {
		t.Error("a second verification begins beside the first")
	}
	if probes := p.Probes(now); len(probes) != maxProbes || probes[0] != address(9) {
		t.Errorf("probes %v, want the upstream first that is not known to be lost", probes)
	}
	p.DirectOpened(address(9), now.Add(time.Millisecond))
	if p.Verified(now) || p.HasLostAll() || !p.Plan(address(4), now).Direct {
		t.Error("lost though a direct connection was opened meanwhile")
	}
	now = now.Add(10 * time.Second)
	p.DetourOpened(address(1), "p0", now)
	p.DetourOpened(address(2), "p0", now)
	if !p.Verified(now) || p.Plan(address(4), now) != (Plan{Detour: true}) || !p.HasLost(address(4), now) || !p.NeedsProbes(now) {
		t.Error("not lost though no direct connection was opened")
	}
	if !p.DirectOpened(address(5), now) || p.HasLostAll() || !p.Plan(address(1), now).Direct {
		t.Error("a direct connection does not restore the paths")
	}
}

// Old evidence and evidence from before a direct connection does not count.
func TestEvidenceExpires(t *testing.T) {
	p := newPaths(3)
	p.DetourOpened(address(1), "p0", start)
	p.DirectOpened(address(7), start.Add(time.Second))
	if p.DetourOpened(address(2), "p0", start.Add(2*time.Second)) {
		t.Error("a loss from before a direct connection counts")
	}
	if p.DetourOpened(address(3), "p0", start.Add(2*time.Second+evidenceRetention+1)) {
		t.Error("an old loss counts")
	}
}

// Peers of other data centres come first, those that failed are left out for a while, and the
// connections spread over the others.
func TestCandidates(t *testing.T) {
	p := newPaths(8) // p0, p2, p4, p6 in a
	used := map[string]int{}
	for range 400 {
		c := p.Candidates("a", nil, start)
		if len(c) != maxPeersPerConnection {
			t.Fatalf("candidates %v", c)
		}
		used[c[0]]++
	}
	for _, name := range []string{"p1", "p3", "p5", "p7"} {
		if used[name] < 50 {
			t.Errorf("%s is first %d times of 400", name, used[name])
		}
		p.PeerFailed(name, true, start)
	}
	if c := p.Candidates("a", nil, start); slices.Contains(c, "p1") || len(c) != maxPeersPerConnection {
		t.Errorf("candidates %v after the peers of the other data centre failed", c)
	}
	p.DetourOpened(address(1), "p3", start)
	if c := p.Candidates("a", nil, start); c[0] != "p3" {
		t.Errorf("candidates %v, want the peer first that has just connected", c)
	}
	if c := p.Candidates("a", nil, start.Add(initialPeerAvoidance)); !slices.Contains([]string{"p1", "p3", "p5", "p7"}, c[0]) {
		t.Errorf("candidates %v after the avoidance", c)
	}
}

// Guards against a request that leaves its regions through a peer of another one.
func TestCandidatesWithinDataCentres(t *testing.T) {
	p := newPaths(8) // p0, p2, p4, p6 in a
	for _, tt := range []struct {
		permitted string
		want      int
	}{
		{"a", 4},
		{"nowhere", 0},
	} {
		c := p.Candidates("a", func(dataCentre string) bool { return dataCentre == tt.permitted }, start)
		if len(c) != min(tt.want, maxPeersPerConnection) {
			t.Errorf("within %s: candidates %v", tt.permitted, c)
		}
		for _, name := range c {
			if p.DataCentreOf(name) != tt.permitted {
				t.Errorf("within %s: candidates %v, %s is elsewhere", tt.permitted, c, name)
			}
		}
	}
}

// An entry is cut off only if neither an upstream nor another VM was reached lately.
func TestCutOff(t *testing.T) {
	p := newPaths(2)
	if p.NoneReached(start); !p.IsCutOff(start) || p.IsCutOff(start.Add(evidenceRetention+1)) {
		t.Error("cut off after nothing was reached, for the time that evidence lasts")
	}
	p.PeerFailed("p0", true, start)
	if p.NoneReached(start); p.IsCutOff(start) {
		t.Error("cut off though a peer answers")
	}
	p = newPaths(2)
	p.DirectOpened(address(1), start)
	if p.NoneReached(start.Add(time.Second)); p.IsCutOff(start.Add(time.Second)) {
		t.Error("cut off right after a direct connection")
	}
	p = newPaths(0)
	if p.NoneReached(start); p.IsCutOff(start) {
		t.Error("cut off without other VMs")
	}
}

// What is known of peers survives a new list, and unused paths are forgotten.
func TestStateIsBounded(t *testing.T) {
	p := newPaths(2)
	p.PeerFailed("p0", false, start)
	p.SetPeers([]Peer{{Name: "p0", DataCentre: "a"}, {Name: "p9", DataCentre: "a"}})
	if c := p.Candidates("", nil, start); len(c) != 1 || c[0] != "p9" {
		t.Errorf("candidates %v, want the new peer only", c)
	}
	for i := range 4000 {
		p.Plan(address(i), start)
	}
	p.Plan(address(1), start.Add(2*pathRetention))
	if n := len(p.upstreams); n > 1 {
		t.Errorf("%d paths are kept", n)
	}
}

// TestLossOfOneServiceIsNotLossOfAll guards against an entry that loses its paths to most upstreams,
// and takes those to the others for lost too each time they are verified.
func TestLossOfOneServiceIsNotLossOfAll(t *testing.T) {
	const upstreams, reached = 16, 13 // the entry reaches the upstreams from reached on
	p := newPaths(3)
	now := start
	for i := range upstreams {
		p.DirectOpened(address(i), now)
	}
	probe := func() {
		for _, a := range p.Probes(now) {
			if a.Compare(address(reached)) >= 0 {
				p.DirectOpened(a, now)
			}
		}
	}
	lost := 0
	for i := range 200 {
		now = now.Add(time.Second)
		if p.NeedsProbes(now) {
			probe()
		}
		for k := range 2 { // few connections are opened, because open ones are used again
			now = now.Add(time.Millisecond)
			if !p.DetourOpened(address((2*i+k)%reached), "p0", now) {
				continue
			}
			began := now
			probe()
			if p.Verified(began) {
				lost++
			}
		}
	}
	if lost > 1 { // before any probe nothing tells which upstreams are reached
		t.Errorf("all paths counted as lost %d times", lost)
	}
}

// TestProbesReachOtherUpstreams guards against paths that stay lost because the upstreams that are
// probed are down.
func TestProbesReachOtherUpstreams(t *testing.T) {
	p := newPaths(3)
	for i := range 9 {
		p.DirectOpened(address(i), start.Add(time.Duration(i)))
	}
	probed := map[netip.AddrPort]bool{}
	for range 200 {
		for _, a := range p.Probes(start) {
			probed[a] = true
		}
	}
	if len(probed) != 9 {
		t.Errorf("%d of 9 upstreams are ever probed", len(probed))
	}
}
