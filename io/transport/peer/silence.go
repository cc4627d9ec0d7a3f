package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// answerWait is how long a peer that is sent messages may let nothing be heard,
// over this VM's connection or its own: several heartbeats and round trips. A
// connection that has gone silent for good, while a new one would work, is left
// after it. Messages come through again 0.86 s after the silence began; with
// yamux's probes alone it took 4.05 s (BenchmarkSilentConnection), in which no
// change was agreed and upstreams that leave were still used.
const answerWait = 800 * time.Millisecond

// errSilent ends a connection over which the peer gives no sign of life.
var errSilent = errors.New("peer: nothing is heard")

// pulse is when a peer was heard last.
type pulse struct {
	origin time.Time // the time of day may jump
	heard  atomic.Int64
}

func (p *pulse) hear(now time.Time) { p.heard.Store(int64(now.Sub(p.origin))) }

func (p *pulse) last() time.Time { return p.origin.Add(time.Duration(p.heard.Load())) }

// expectation finds a peer that is sent messages and lets nothing be heard.
type expectation struct {
	since time.Time // of the first message after which nothing was heard
}

// sends notes that a message is about to be sent, and reports whether the peer
// has been silent for too long after one before it.
func (e *expectation) sends(now, heard time.Time) (silent bool) {
	if e.since.IsZero() || heard.After(e.since) {
		e.since = now
		return false
	}
	return now.Sub(e.since) > answerWait
}

// heardConn tells of the bytes that come.
type heardConn struct {
	net.Conn
	hear func()
}

// Read implements [net.Conn].
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.hear()
	}
	return n, err
}

// hear notes that the VM was heard, if this one has a link to it.
func (n *Node) hear(vm string) {
	n.mu.Lock()
	l := n.links[vm]
	n.mu.Unlock()
	if l != nil {
		l.hear(n.Clock.Now())
	}
}

// Suspect closes the connection to the VM if nothing was heard of it for so
// long. The next call dials a new one.
func (n *Node) Suspect(vm string, quiet time.Duration) {
	n.mu.Lock()
	l := n.links[vm]
	n.mu.Unlock()
	if l == nil || n.Clock.Now().Sub(l.last()) < quiet {
		return
	}
	if session := l.get(); session != nil {
		n.count("peer.silent")
		session.Close()
	}
}
