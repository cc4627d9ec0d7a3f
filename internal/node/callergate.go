package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/adaptivelimit"
	"persimmoncross/core/state/catalog"
)

// Intervals of a gate.
const (
	// maxRefusingTime is how long connections are refused at most, so that callers' requests always find some room and show
	// whether there is more.
	maxRefusingTime = time.Second
	// loadLogInterval is the time between two log lines about the load of callers, which are written while at least
	// minLoggedRequests came in it.
	loadLogInterval   = time.Second
	minLoggedRequests = 50
)

// dialFunc opens a connection to an upstream.
type dialFunc = func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// errNotRead ends a connection whose next request is not read.
var errNotRead = newError("read", Unavailable, errors.New("the entry has as many requests in work as it can serve in time"))

// errHeadTooLarge ends a connection whose request has a larger head than it may have.
var errHeadTooLarge = newError("read", Unavailable, errors.New("the head of a request is larger than it may be"))

// callerGate decides which requests of callers are read. The exported fields are set before use.
type callerGate struct {
	Clock   persimmoncross.Clock
	Metrics metrics.Registry
	Log     zerolog.Logger
	// PeerDelay measures the link by a peer that is no upstream.
	PeerDelay *peerDelay
	// Limits returns the limits of callers' requests, nil if none are known.
	Limits func() *catalog.Limits

	mu         sync.Mutex // guards all below
	limit      adaptivelimit.Limit
	acceptedAt time.Time // when a connection was last accepted
	refusal    refusalShare
	loggedAt   time.Time
	inForce    bool // the limit was in force when it was last logged
	logged     callerLoad

	received, sent atomic.Int64 // bytes from and to callers
}

// setRefusing records that connections are refused from now on, or not.
func (g *callerGate) setRefusing(refusing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusal.set(refusing, g.Clock.Now())
}

// refusesMost reports whether callers should use other entries, since this one refuses most new connections. It is so until
// the limit has not been reached for a while.
func (g *callerGate) refusesMost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.limit.HasRoom(now) // evaluates what came since the last request
	return g.refusal.isMost(g.limit.InForce(), now)
}

// callerLoad is what came from callers since the last log line.
type callerLoad struct {
	accepted, begun, unread int
	dials, failed           int
	received, sent          int64
}

// accepted counts a new connection for its first request, and reports whether more may come.
func (g *callerGate) accepted() (more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.acceptedAt = now
	g.logged.accepted++
	g.limit.Count(now)
	return g.limit.HasRoom(now)
}

// mayAccept reports whether connections are accepted again.
func (g *callerGate) mayAccept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	return g.limit.HasBurst(now) || now.Sub(g.acceptedAt) >= maxRefusingTime
}

// begin reports whether a request may be read, and begins to measure it if so. The first request of a connection was
// counted when that was accepted.
func (g *callerGate) begin(q *adaptivelimit.Request, first bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	defer g.logLoad(now)
	g.refusal.isMost(g.limit.InForce(), now)
	if g.limit.IsConnectingLate(now) {
		g.limit.SetPeerDelay(g.PeerDelay.delay())
	}
	if g.limit.IsExceeded(now) {
		g.logged.unread++
		metrics.GetOrRegisterCounter("callers.unread", g.Metrics).Inc(1)
		return false
	}
	if !first {
		g.limit.Count(now)
	}
	g.logged.begun++
	g.limit.Begin(q, now)
	return true
}

// update changes the limit's state.
func (g *callerGate) update(change func(l *adaptivelimit.Limit, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.limit, g.Clock.Now())
}

// measureDials returns a function that opens direct connections as dial does, and has the limit follow how long that takes.
func (g *callerGate) measureDials(dial dialFunc) dialFunc {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var c *adaptivelimit.Connecting
		g.update(func(l *adaptivelimit.Limit, now time.Time) { c = l.Connect(address, now) })
		conn, err := dial(ctx, address)
		delay := time.Duration(0)
		if err != nil {
			delay = g.PeerDelay.delay()
		}
		g.update(func(l *adaptivelimit.Limit, now time.Time) {
			if err != nil {
				g.logged.failed++
				l.SetPeerDelay(delay)
				l.ConnectFailed(c, now)
				return
			}
			g.logged.dials++
			l.Connected(c, now)
		})
		return conn, err
	}
}

// logLoad logs a limit that came into force or ended, and the load of callers once a second. The caller holds mu.
func (g *callerGate) logLoad(now time.Time) {
	inForce := g.limit.InForce()
	if inForce == g.inForce && now.Sub(g.loggedAt) < loadLogInterval {
		return
	}
	elapsed := now.Sub(g.loggedAt)
	x := g.logged
	x.received, x.sent = g.received.Swap(0), g.sent.Swap(0)
	busy := inForce || g.inForce || x.begun+x.unread >= minLoggedRequests
	g.inForce = inForce
	g.loggedAt = now
	g.logged = callerLoad{}
	s := g.limit.State(now)
	metrics.GetOrRegisterGauge("callers.limit", g.Metrics).Update(int64(s.Rate))
	if busy {
		g.Log.Info().Float64("limit", s.Rate).Float64("rate", s.Measured).Int("working", s.InWork).Dur("work", s.WorkDelay).Dur("link", s.LinkDelay).Int("accepted", x.accepted).Int("begun", x.begun).Int("unread", x.unread).Int("dials", x.dials).Int("failed", x.failed).Int64("received", x.received).Int64("sent", x.sent).Dur("since", elapsed).Msg("load of callers")
	}
}

// limitMargin is by which factor a caller may exceed the limits that documents declare before its connection is closed: a
// caller within the limits is measured at its own end of the link.
const limitMargin = 2

// readAhead is how many bytes of a body may be read together with the end of a head.
const readAhead = 4 << 10

// maxHead returns how many bytes may be read until the head of a request is complete.
func (g *callerGate) maxHead() int {
	if l := g.Limits(); l != nil && l.HeaderBytes > 0 {
		return min(limitMargin*l.HeaderBytes, maxHeaderBytes) + readAhead
	}
	return maxHeaderBytes + readAhead
}

// connectionTimes returns how long a head may take to arrive, and how long a connection may be idle; zero: not limited
// beyond what the server does.
func (g *callerGate) connectionTimes() (head, idle time.Duration) {
	l := g.Limits()
	if l == nil {
		return 0, 0
	}
	return limitMargin * l.HeaderTimeout, limitMargin * l.IdleTimeout
}

// connState follows the requests of a connection. It is called by the server of callers.
func (g *callerGate) connState(c net.Conn, state http.ConnState) {
	k, ok := c.(*gatedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		k.End()
		k.next.Store(true)
	case http.StateClosed, http.StateHijacked:
		k.End()
	}
}
