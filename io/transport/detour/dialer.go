package detour

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/detour"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Timeouts of opening connections.
const (
	// dialTimeout is well over a round trip between regions and leaves time for another upstream.
	dialTimeout = 700 * time.Millisecond
	// askTimeout limits the wait for one peer, and askStagger that until the next one is asked too.
	askTimeout = 400 * time.Millisecond
	askStagger = 100 * time.Millisecond
	// silentPeer is the silence from which the connection to a peer that did not answer is given up.
	silentPeer = 700 * time.Millisecond
	// probeTimeout limits a direct connection that only shows whether there is a path.
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 500 * time.Millisecond
)

// Results of asking a peer, as in wire.Detoured.
const (
	resultConnected   = 0
	resultDown        = 1 // the peer reaches others, and not this upstream
	resultUnreachable = 2 // the peer has lost its path to the upstream
	resultNotAccepted = 3 // the peer takes no connection
	resultUnknown     = 4 // the peer lists no upstream at the address
	resultUnsure      = 5 // the peer could not connect, and does not know whether it reaches others
)

// Dialer opens connections to upstreams, directly or through other VMs. The exported fields are
// set before use.
type Dialer struct {
	Paths      *detour.Paths
	Direct     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Node       *peer.Node
	DataCentre string // of this VM
	// OnLost is called when the direct path to an upstream is lost, and OnLostAll when those to all
	// are; each may be nil.
	OnLost    func(address netip.AddrPort)
	OnLostAll func()
	Clock     persimmoncross.Clock
	Metrics   metrics.Registry
	Log       zerolog.Logger
}

// dialed is the result of one way of opening a connection.
type dialed struct {
	conn   net.Conn
	err    error
	direct bool
	peer   string // through which the connection goes; "" if direct
}

// Errors of a detour that no peer was left for, of all peers and of those that may pass the connection on.
var (
	errNoPeer          = errors.New("detour: no other VM passes the connection on")
	errNoPermittedPeer = errors.New("detour: no permitted VM passes the connection on")
)

// Dial opens a connection to the upstream at the address. Where the direct path is not known to be
// lost, it has a head start over one through another VM. The first that opens is used.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return d.DialWithin(ctx, address, nil)
}

// DialWithin is [Dialer.Dial] through VMs of data centres that mayCarry permits only; nil: of all.
func (d *Dialer) DialWithin(ctx context.Context, address netip.AddrPort, mayCarry func(dataCentre string) bool) (net.Conn, error) {
	plan := d.Paths.Plan(address, d.Clock.Now())
	if !plan.Detour {
		return d.dialDirectOnly(ctx, address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialed, 2)
	pending := 0
	var startDetour <-chan time.Time
	detour := func() {
		startDetour = nil
		pending++
		go func() { results <- d.dialDetour(ctx, address, mayCarry) }()
	}
	var directErr, detourErr error
	if plan.Direct {
		pending++
		go func() { results <- d.dialDirect(ctx, address) }()
	}
	if plan.Direct && plan.DetourDelay > 0 {
		startDetour = d.Clock.After(plan.DetourDelay)
	} else {
		detour()
	}
	for {
		select {
		case <-startDetour:
			detour()
		case r := <-results:
			pending--
			if r.err == nil {
				go closeLate(results, pending)
				d.opened(ctx, address, r)
				return r.conn, nil
			}
			if r.direct {
				directErr = r.err
			} else {
				detourErr = r.err
			}
			if startDetour != nil {
				detour()
			}
			if pending == 0 {
				return nil, d.failed(ctx, directErr, detourErr)
			}
		}
	}
}

// closeLate closes the connections that open after another one was used.
func closeLate(results <-chan dialed, pending int) {
	for range pending {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}
}

func (d *Dialer) dialDirectOnly(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	c, err := d.Direct(ctx, address)
	if err == nil {
		d.directOpened(address)
	}
	return c, err
}

func (d *Dialer) dialDirect(ctx context.Context, address netip.AddrPort) dialed {
	c, err := d.Direct(ctx, address)
	return dialed{
		conn:   c,
		err:    err,
		direct: true,
	}
}

// opened records how a connection was opened.
func (d *Dialer) opened(ctx context.Context, address netip.AddrPort, r dialed) {
	if r.direct {
		d.directOpened(address)
		return
	}
	d.count("opened")
	if d.OnLost != nil {
		d.OnLost(address)
	}
	if d.Paths.DetourOpened(address, r.peer, d.Clock.Now()) {
		go d.verify(context.WithoutCancel(ctx))
	}
}

func (d *Dialer) directOpened(address netip.AddrPort) {
	if d.Paths.DirectOpened(address, d.Clock.Now()) {
		d.count("restored")
		d.Log.Info().Str("address", address.String()).Msg("paths to upstreams restored")
	}
}

// failed records that no connection could be opened, and returns the error of the direct one, or of
// the detour if there was none.
func (d *Dialer) failed(ctx context.Context, direct, detour error) error {
	if errors.Is(detour, errNoPeer) && !errors.Is(ctx.Err(), context.Canceled) {
		d.Paths.NoneReached(d.Clock.Now())
	}
	if direct != nil {
		return direct
	}
	return detour
}

// asked is a peer's answer, or why there was none.
type asked struct {
	peer   string
	conn   *conn // nil unless the peer has connected
	result uint32
	err    error
}

// dialDetour opens a connection through the first of some peers that reaches the upstream. Each is
// asked when the one before has failed or has not answered for a while.
func (d *Dialer) dialDetour(ctx context.Context, address netip.AddrPort, mayCarry func(dataCentre string) bool) dialed {
	candidates := d.Paths.Candidates(d.DataCentre, mayCarry, d.Clock.Now())
	answers := make(chan asked, len(candidates))
	next, pending := 0, 0
	var stagger <-chan time.Time
	askNext := func() {
		stagger = nil
		if next == len(candidates) {
			return
		}
		name := candidates[next]
		next++
		pending++
		d.count("asked")
		go func() { answers <- d.ask(ctx, name, address) }()
		stagger = d.Clock.After(askStagger)
	}
	askNext()
	for pending > 0 {
		select {
		case <-stagger:
			askNext()
		case a := <-answers:
			pending--
			switch {
			case a.conn != nil:
				go abortLate(answers, pending)
				return dialed{
					conn: a.conn,
					peer: a.peer,
				}
			case a.result == resultDown:
				d.count("refused")
				d.Paths.DetourRefused(address, d.Clock.Now())
				go abortLate(answers, pending)
				return dialed{
					err: &net.OpError{
						Op:  "dial",
						Err: syscall.ECONNREFUSED,
					},
				}
			}
			d.peerFailed(ctx, a)
			askNext()
		}
	}
	if mayCarry != nil {
		return dialed{
			err: errNoPermittedPeer, // which says nothing of the others
		}
	}
	return dialed{
		err: errNoPeer,
	}
}

// abortLate ends the connections that peers open after they are needed.
func abortLate(answers <-chan asked, pending int) {
	for range pending {
		if a := <-answers; a.conn != nil {
			a.conn.Close()
		}
	}
}

// peerFailed records that a peer did not connect. A peer that does not list the upstream, or may have
// met one that is down, is not at fault.
func (d *Dialer) peerFailed(ctx context.Context, a asked) {
	d.count("failed")
	blameless := a.err == nil && (a.result == resultUnknown || a.result == resultUnsure)
	if blameless {
		d.Paths.PeerAnswered(d.Clock.Now())
	}
	if blameless || ctx.Err() != nil {
		return
	}
	d.Paths.PeerFailed(a.peer, a.err == nil, d.Clock.Now())
	if a.err != nil {
		d.Node.Suspect(a.peer, silentPeer)
	}
}

// ask asks one peer to connect to the upstream.
func (d *Dialer) ask(ctx context.Context, name string, address netip.AddrPort) asked {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s, err := d.Node.Call(ctx, name, &wire.Call{
		Body: &wire.Call_Detour{
			Detour: &wire.Detour{
				Address: address.String(),
			},
		},
	})
	if err != nil {
		return asked{
			peer: name,
			err:  err,
		}
	}
	answer := &wire.Detoured{}
	err = s.Receive(answer)
	connected := err == nil && answer.GetResult() == resultConnected
	if connected && !s.Detach() { // the wait has ended, and the stream with it
		connected, err = false, ctx.Err()
	}
	if !connected {
		s.Abort()
		return asked{
			peer:   name,
			result: answer.GetResult(),
			err:    err,
		}
	}
	return asked{
		peer: name,
		conn: &conn{
			stream:     s,
			upstream:   address,
			dataCentre: d.Paths.DataCentreOf(name),
		},
	}
}

// verify finds out with direct connections whether this VM still reaches any upstream.
func (d *Dialer) verify(ctx context.Context) {
	began := d.Clock.Now()
	d.probe(ctx)
	if !d.Paths.Verified(began) {
		d.count("refuted")
		return
	}
	d.count("lost")
	if d.OnLostAll != nil {
		d.OnLostAll()
	}
	d.Log.Warn().Msg("paths to all upstreams lost: connections go through other VMs")
}

// probe tries direct connections to some upstreams at the same time.
func (d *Dialer) probe(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range d.Paths.Probes(d.Clock.Now()) {
		group.Go(func() {
			d.count("probed")
			_ = d.tryDirect(ctx, address) // a path that is lost stays so
		})
	}
	group.Wait()
}

// Run tries the direct paths again while they count as lost, until the context ends.
func (d *Dialer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Clock.After(probeInterval):
		}
		now := d.Clock.Now()
		if !d.Paths.NeedsProbes(now) {
			continue
		}
		d.probe(ctx)
		if !d.Paths.IsCutOff(now) {
			continue
		}
		if addresses := d.Paths.Probes(now); len(addresses) > 0 {
			if c, err := d.Dial(ctx, addresses[0]); err == nil {
				c.Close()
			}
		}
	}
}

// IsDown reports whether the upstream is known to be down: it refuses a connection from this VM, and
// this VM reaches other upstreams or another VM is refused too.
func (d *Dialer) IsDown(ctx context.Context, address netip.AddrPort) bool {
	if !errors.Is(d.tryDirect(ctx, address), syscall.ECONNREFUSED) {
		return false // no answer tells nothing of its process
	}
	now := d.Clock.Now()
	if !d.Paths.HasLost(address, now) && !d.Paths.Plan(address, now).Detour {
		return true // no other VM can be asked
	}
	switch err := d.tryDetour(ctx, address); {
	case err == nil:
		return false
	case errors.Is(err, syscall.ECONNREFUSED):
		return true
	}
	return !d.Paths.HasLost(address, d.Clock.Now())
}

// Accepts reports whether the upstream accepts a connection, from this VM or from another one where
// this VM's path may be lost.
func (d *Dialer) Accepts(ctx context.Context, address netip.AddrPort) bool {
	if !d.Paths.HasLost(address, d.Clock.Now()) {
		if d.tryDirect(ctx, address) == nil {
			return true
		}
		if !d.Paths.Plan(address, d.Clock.Now()).Detour {
			return false
		}
	}
	return d.tryDetour(ctx, address) == nil
}

// tryDirect opens a direct connection that only shows whether there is a path, and closes it.
func (d *Dialer) tryDirect(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := d.Direct(ctx, address)
	if err != nil {
		return err
	}
	c.Close()
	d.directOpened(address)
	return nil
}

// tryDetour opens a connection through another VM that only shows whether the upstream is reached, and
// closes it.
func (d *Dialer) tryDetour(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	r := d.dialDetour(ctx, address, nil)
	if r.err != nil {
		return r.err
	}
	r.conn.Close()
	d.opened(ctx, address, r)
	return nil
}

func (d *Dialer) count(name string) {
	metrics.GetOrRegisterCounter("detour."+name, d.Metrics).Inc(1)
}
