// Package forward carries passages to upstreams over HTTP/1.1 on connections
// that it keeps itself, so that nothing is ever sent a second time unasked, and
// an answer that belongs to no request is found before the next one is sent.
package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// Bounds of the connections.
const (
	// dialTimeout is well over a round trip between regions and leaves time for
	// another upstream.
	dialTimeout = 700 * time.Millisecond
	// idleDefault is used where an upstream does not tell how long it keeps an
	// idle connection; idleMargin is taken off where it does.
	idleDefault = 2 * time.Second
	idleMargin  = 500 * time.Millisecond
	sweepEvery  = time.Second
)

// Client implements [persimmoncross.Forwarder]. The exported fields are set
// before Run.
type Client struct {
	Codec   persimmoncross.ProxyHeaderCodec
	Clock   persimmoncross.Clock
	Metrics metrics.Registry
	// Dial opens a connection to an upstream; nil: a direct TCP connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialWithin is Dial through VMs of data centres that mayCarry permits only; nil: Dial passes through none.
	DialWithin func(ctx context.Context, address netip.AddrPort, mayCarry func(dataCentre string) bool) (net.Conn, error)
	// Down reports whether an upstream is down; nil: it is where it refuses a connection from this VM.
	Down func(ctx context.Context, address netip.AddrPort) bool
	// Accepting reports whether an upstream accepts connections; nil: those from this VM tell.
	Accepting func(ctx context.Context, address netip.AddrPort) bool

	mu    sync.Mutex       // guards hosts and what they hold
	hosts map[string]*host // by life
}

// host holds the connections to one life of an upstream.
type host struct {
	open int     // connections, idle or not
	idle []*conn // the latest used last
	seen time.Time
}

// Run closes idle connections before their upstreams do, and those on which bytes come unasked, until the
// context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(sweepEvery):
		}
		for _, old := range c.expired(c.Clock.Now()) {
			old.raw.Close()
		}
	}
}

// expired takes out the connections that have been idle for too long or are not quiet.
func (c *Client) expired(now time.Time) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []*conn
	for id, h := range c.hosts {
		kept := h.idle[:0]
		for _, k := range h.idle {
			if now.Before(k.until) && k.quiet() {
				kept = append(kept, k)
				continue
			}
			old = append(old, k)
			h.open--
		}
		h.idle = kept
		if h.open == 0 && now.Sub(h.seen) > time.Minute {
			delete(c.hosts, id)
		}
	}
	return old
}

// take returns an idle connection that is sound, or nil and whether a new one
// may be opened. mayCarry tells which connections through other VMs may be used; nil: all.
func (c *Client) take(id string, most int, mayCarry func(dataCentre string) bool, now time.Time) (*conn, bool) {
	for {
		c.mu.Lock()
		h := c.host(id)
		h.seen = now
		n := h.lastIdle(mayCarry)
		if n < 0 {
			spare := h.makeRoom(most)
			may := most <= 0 || h.open < most
			if may {
				h.open++
			}
			c.mu.Unlock()
			if spare != nil {
				spare.raw.Close()
			}
			return nil, may
		}
		k := h.idle[n]
		h.idle = slices.Delete(h.idle, n, n+1)
		c.mu.Unlock()
		if now.Before(k.until) && k.quiet() {
			return k, true
		}
		c.drop(k)
		c.count("stale")
	}
}

// lastIdle returns the index of the idle connection that was used last, of those that may be used; -1: there is none.
func (h *host) lastIdle(mayCarry func(dataCentre string) bool) int {
	for n := len(h.idle) - 1; n >= 0; n-- {
		if h.idle[n].mayUse(mayCarry) {
			return n
		}
	}
	return -1
}

// makeRoom takes out an idle connection, which may not be used, if there is no room for a new one. It returns nil if
// there is none or room is left.
func (h *host) makeRoom(most int) *conn {
	if len(h.idle) == 0 || most <= 0 || h.open < most {
		return nil
	}
	k := h.idle[0]
	h.idle = slices.Delete(h.idle, 0, 1)
	h.open--
	return k
}

func (c *Client) host(id string) *host {
	if c.hosts == nil {
		c.hosts = map[string]*host{}
	}
	h := c.hosts[id]
	if h == nil {
		h = &host{}
		c.hosts[id] = h
	}
	return h
}

// give puts a connection back.
func (c *Client) give(k *conn, now time.Time) {
	k.until = now.Add(k.idleFor)
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.host(k.id)
	h.idle = append(h.idle, k)
}

// drop closes a connection for good.
func (c *Client) drop(k *conn) {
	k.raw.Close()
	c.forget(k.id)
}

func (c *Client) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host(id).open--
}

// CloseIdle closes the idle connections to a life that is over.
func (c *Client) CloseIdle(id string) {
	c.mu.Lock()
	h := c.hosts[id]
	var idle []*conn
	if h != nil {
		idle = h.idle
		h.idle = nil
		h.open -= len(idle)
	}
	c.mu.Unlock()
	for _, k := range idle {
		k.raw.Close()
	}
}

// CloseDirect closes the idle direct connections to the upstreams at the addresses that match, because
// they may carry nothing any more.
func (c *Client) CloseDirect(match func(address netip.AddrPort) bool) {
	c.mu.Lock()
	var lost []*conn
	for _, h := range c.hosts {
		kept := h.idle[:0]
		for _, k := range h.idle {
			if k.direct() && match(k.address) {
				lost = append(lost, k)
				h.open--
				continue
			}
			kept = append(kept, k)
		}
		h.idle = kept
	}
	c.mu.Unlock()
	for _, k := range lost {
		k.raw.Close()
		c.count("lost")
	}
}

func (c *Client) connect(ctx context.Context, id string, address netip.AddrPort, mayCarry func(dataCentre string) bool) (*conn, error) {
	raw, err := c.dial(ctx, address, mayCarry)
	if err != nil {
		c.forget(id)
		c.count("dial." + dialFailure(err))
		return nil, err
	}
	c.count("dialled")
	heads := &headReader{
		raw: raw,
	}
	return &conn{
		id:      id,
		address: address,
		raw:     raw,
		heads:   heads,
		in:      bufio.NewReaderSize(heads, 4<<10),
		idleFor: idleDefault,
	}, nil
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort, mayCarry func(dataCentre string) bool) (net.Conn, error) {
	switch {
	case mayCarry != nil && c.DialWithin != nil:
		return c.DialWithin(ctx, address, mayCarry)
	case c.Dial != nil:
		return c.Dial(ctx, address)
	}
	return DialDirect(ctx, address)
}

// dialFailure returns why a connection could not be opened, as the suffix of a counter's name.
func dialFailure(err error) string {
	var n net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.As(err, &n) && n.Timeout():
		return "timeout"
	}
	return "failed"
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("forward."+name, c.Metrics).Inc(1)
}
