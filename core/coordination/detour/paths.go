// Package detour decides by which path an entry connects to an upstream: its own, or through
// another VM. An entry may lose its paths to some or all upstreams while other entries reach
// them; it then still reaches the other entries, and the connection is passed on there. All
// decisions on the request stay at the entry that received it. The package has no I/O and no
// clock.
package detour

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Parameters of the paths.
const (
	// openDelay is how long a direct connection may take to open before one through another VM
	// is opened beside it. It is over a round trip between regions, and well under the second
	// after which TCP sends its first packet again.
	openDelay = 150 * time.Millisecond
	// initialLostDuration and maxLostDuration bound how long the direct path to an upstream is
	// not used after another VM has reached it. The duration doubles each time.
	initialLostDuration = time.Second
	maxLostDuration     = 8 * time.Second
	// lostAllQuorum is the number of upstreams that other VMs reach and this one does not, with
	// no direct connection opened in between, from which this VM's paths to all upstreams are
	// verified. Fewer may be the fault of one link.
	lostAllQuorum = 2
	// maxProbes limits the upstreams that a verification tries.
	maxProbes = 3
	// evidenceRetention is how long such a loss counts as evidence.
	evidenceRetention = 4 * time.Second
	// downDuration is how long an upstream that refused another VM's connection too is not tried
	// through other VMs.
	downDuration = 500 * time.Millisecond
	// initialPeerAvoidance and maxPeerAvoidance bound how long a VM is not used after it could
	// not pass a connection on.
	initialPeerAvoidance = 500 * time.Millisecond
	maxPeerAvoidance     = 8 * time.Second
	// reachRetention is how long an opened connection shows that this VM reaches upstreams.
	reachRetention = 2 * time.Second
	// maxPeersPerConnection limits the VMs that are tried for one connection.
	maxPeersPerConnection = 3
	// pathRetention is how long an upstream's path is remembered without use.
	pathRetention = time.Minute
)

// Peer is another VM that may pass connections on.
type Peer struct {
	Name       string
	DataCentre string
}

// Plan says how to open a connection to an upstream.
type Plan struct {
	Direct      bool          // open a direct connection
	Detour      bool          // open one through another VM, unless the direct one is open before
	DetourDelay time.Duration // how long the direct connection is given first; it ends when that fails
}

// Paths are an entry's paths to upstreams. The zero value has no peers, and takes all direct
// paths for sound. It is safe for concurrent use.
type Paths struct {
	mu         sync.Mutex // guards all below
	upstreams  map[netip.AddrPort]*path
	peers      []*peerState
	openedAt   time.Time // when a direct connection was last opened
	verifying  bool      // whether the paths to all upstreams are lost is being verified
	lostAll    bool      // the paths to all upstreams count as lost
	answeredAt time.Time // when a peer last answered
	cutOffAt   time.Time // when neither an upstream nor a peer was reached; zero: one was since
	sweptAt    time.Time
}

// path is the direct path to one upstream.
type path struct {
	lostAt       time.Time // when another VM last reached the upstream and this one did not; zero: never
	lostUntil    time.Time
	lostDuration time.Duration
	downUntil    time.Time // the upstream refused another VM too
	openedAt     time.Time // when a direct connection was last opened; zero: not since the path is known
	usedAt       time.Time
}

// peerState is a peer with what is known of its use.
type peerState struct {
	Peer
	avoidUntil time.Time
	avoidance  time.Duration
}

// SetPeers replaces the peers. What is known of those that stay is kept.
func (p *Paths) SetPeers(peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make([]*peerState, 0, len(peers))
	for _, x := range peers {
		state := &peerState{
			Peer: x,
		}
		if i := slices.IndexFunc(p.peers, func(old *peerState) bool { return old.Peer == x }); i >= 0 {
			state = p.peers[i]
		}
		next = append(next, state)
	}
	p.peers = next
}

// Plan returns how to open a connection to the upstream at the address.
func (p *Paths) Plan(address netip.AddrPort, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	x := p.path(address, now)
	hasPeers := len(p.peers) > 0
	switch {
	case hasPeers && (p.lostAll || now.Before(x.lostUntil)):
		return Plan{
			Detour: true,
		}
	case hasPeers && x.lostDuration > 0:
		return Plan{
			Direct: true,
			Detour: true,
		}
	}
	return Plan{
		Direct:      true,
		Detour:      hasPeers && !now.Before(x.downUntil),
		DetourDelay: openDelay,
	}
}

// Candidates returns the peers to try for a connection, in order. Those of other data centres than
// the given one come first, because a data centre may lose its paths as a whole. The order is
// random otherwise, so that the connections spread over the peers. mayCarry reports whether peers in a data
// centre may be used; nil: all may.
func (p *Paths) Candidates(dataCentre string, mayCarry func(dataCentre string) bool, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var other, same []string
	for _, i := range rand.Perm(len(p.peers)) {
		x := p.peers[i]
		switch {
		case now.Before(x.avoidUntil):
		case mayCarry != nil && !mayCarry(x.DataCentre):
		case dataCentre != "" && x.DataCentre == dataCentre:
			same = append(same, x.Name)
		default:
			other = append(other, x.Name)
		}
	}
	candidates := append(other, same...)
	return candidates[:min(len(candidates), maxPeersPerConnection)]
}

// DataCentreOf returns the data centre of a peer, "" if it is not known.
func (p *Paths) DataCentreOf(peer string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peer(peer); x != nil {
		return x.DataCentre
	}
	return ""
}

// DirectOpened records that a direct connection to the upstream was opened. Where the paths to all
// upstreams were lost, they are tried again.
func (p *Paths) DirectOpened(address netip.AddrPort, now time.Time) (restored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedAt = now
	p.cutOffAt = time.Time{}
	*p.path(address, now) = path{
		openedAt: now,
		usedAt:   now,
	}
	if !p.lostAll {
		return false
	}
	p.lostAll = false
	for _, x := range p.upstreams {
		x.lostUntil, x.lostAt = time.Time{}, time.Time{}
	}
	return true
}

// DetourOpened records that the peer opened a connection to the upstream that this VM could not
// open, or not in time. It reports whether the caller is to verify now, with probes of the
// upstreams that [Paths.Probes] returns, whether the paths to all upstreams are lost, and to call
// [Paths.Verified] then.
func (p *Paths) DetourOpened(address netip.AddrPort, peer string, now time.Time) (verify bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswer(now)
	if x := p.peer(peer); x != nil {
		x.avoidUntil, x.avoidance = time.Time{}, 0
	}
	x := p.path(address, now)
	x.lostAt = now
	x.downUntil = time.Time{}
	if !now.Before(x.lostUntil) {
		x.lostDuration = min(max(2*x.lostDuration, initialLostDuration), maxLostDuration)
		x.lostUntil = now.Add(x.lostDuration)
	}
	if p.lostAll || p.verifying {
		return false
	}
	lost := 0
	for _, x := range p.upstreams {
		if x.lostAt.After(p.openedAt) && now.Sub(x.lostAt) <= evidenceRetention {
			lost++
		}
	}
	p.verifying = lost >= lostAllQuorum
	return p.verifying
}

// Verified ends a verification that began at the given time. It reports whether the paths to all
// upstreams count as lost, because no direct connection was opened meanwhile.
func (p *Paths) Verified(began time.Time) (lostAll bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.verifying = false
	p.lostAll = p.openedAt.Before(began)
	return p.lostAll
}

// DetourRefused records that the upstream refused a connection from a peer that reaches others.
func (p *Paths) DetourRefused(address netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswer(now)
	p.path(address, now).downUntil = now.Add(downDuration)
}

// PeerFailed records that the peer could not pass a connection on: it did not answer, or it has lost
// its own paths or takes no more connections.
func (p *Paths) PeerFailed(peer string, answered bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		p.recordAnswer(now)
	}
	if x := p.peer(peer); x != nil && !now.Before(x.avoidUntil) {
		x.avoidance = min(max(2*x.avoidance, initialPeerAvoidance), maxPeerAvoidance)
		x.avoidUntil = now.Add(x.avoidance)
	}
}

// PeerAnswered records that a peer answered, though it did not open a connection and is not at fault.
func (p *Paths) PeerAnswered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswer(now)
}

// recordAnswer records that a peer answered. The caller holds mu.
func (p *Paths) recordAnswer(now time.Time) {
	p.answeredAt = now
	p.cutOffAt = time.Time{}
}

// NoneReached records that a connection could be opened neither directly nor through a peer.
func (p *Paths) NoneReached(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.peers) > 0 && now.Sub(p.openedAt) > reachRetention && now.Sub(p.answeredAt) > evidenceRetention {
		p.cutOffAt = now
	}
}

// HasLostAll reports whether this VM's paths to all upstreams count as lost.
func (p *Paths) HasLostAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostAll
}

// HasLost reports whether this VM's path to the upstream counts as lost, so that failures there say
// nothing about the upstream.
func (p *Paths) HasLost(address netip.AddrPort, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostAll {
		return true
	}
	x := p.upstreams[address]
	return x != nil && !x.lostAt.IsZero() && now.Sub(x.lostAt) <= evidenceRetention
}

// Reaches reports whether a direct connection was opened lately, so that this VM can judge whether
// an upstream that refuses one is down.
func (p *Paths) Reaches(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostAll && !p.openedAt.IsZero() && now.Sub(p.openedAt) <= reachRetention
}

// IsCutOff reports whether this VM reaches neither upstreams nor other VMs that might, so that it
// can serve no caller.
func (p *Paths) IsCutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cutOffAt.IsZero() && now.Sub(p.cutOffAt) <= evidenceRetention
}

// Probes returns upstreams to which direct connections show whether this VM still reaches any. The
// one that was reached last comes first, so that the loss of other paths is not taken for the loss of
// all. The others are drawn at random, because that one may be down; those that are not known to be
// lost come before those that are.
func (p *Paths) Probes(now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last netip.AddrPort
	var lastOpenedAt time.Time
	for address, x := range p.upstreams {
		if x.openedAt.After(lastOpenedAt) {
			last, lastOpenedAt = address, x.openedAt
		}
	}
	var probes, other, lost []netip.AddrPort
	for address, x := range p.upstreams {
		switch {
		case address == last:
			probes = append(probes, address)
		case x.lostAt.IsZero() || now.Sub(x.lostAt) > evidenceRetention:
			other = append(other, address)
		default:
			lost = append(lost, address)
		}
	}
	for _, list := range [][]netip.AddrPort{other, lost} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		probes = append(probes, list...)
	}
	return probes[:min(len(probes), maxProbes)]
}

// NeedsProbes reports whether direct connections are to be tried at intervals, because requests open
// none, or because no request may come.
func (p *Paths) NeedsProbes(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostAll || !p.cutOffAt.IsZero() && now.Sub(p.cutOffAt) <= evidenceRetention
}

// path returns the path to the upstream. The caller holds mu.
func (p *Paths) path(address netip.AddrPort, now time.Time) *path {
	if p.upstreams == nil {
		p.upstreams = map[netip.AddrPort]*path{}
	}
	x := p.upstreams[address]
	if x == nil {
		x = &path{}
		p.upstreams[address] = x
	}
	x.usedAt = now
	return x
}

// peer returns the peer's state, nil if it is no peer any more. The caller holds mu.
func (p *Paths) peer(name string) *peerState {
	for _, x := range p.peers {
		if x.Name == name {
			return x
		}
	}
	return nil
}

// sweep forgets the paths that have not been used for a while. The caller holds mu.
func (p *Paths) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < pathRetention {
		return
	}
	p.sweptAt = now
	for address, x := range p.upstreams {
		if now.Sub(x.usedAt) > pathRetention {
			delete(p.upstreams, address)
		}
	}
}
