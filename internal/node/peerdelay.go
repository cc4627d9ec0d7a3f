package node

import (
	"context"
	"sync"
	"time"

	"persimmoncross"
)

const (
	// peerDelayInterval is the time between two measurements of a calm link, from which the least round trip is known.
	peerDelayInterval = 5 * time.Second
	// minPeerDelayInterval is the wait after a measurement.
	minPeerDelayInterval = 50 * time.Millisecond
	// maxPeerDelayAge is how long a measurement is used.
	maxPeerDelayAge = time.Second
)

// peerDelay measures by how much a round trip to the followed controller exceeds the least one. An entry whose
// connections to upstreams are not opened in time has a full link if the controller is heard late too, and has lost paths
// if it is not. The exported fields are set before run.
type peerDelay struct {
	Clock persimmoncross.Clock
	// Controller returns the followed controller, "" for none.
	Controller func() string
	// Ping returns the round-trip time to a VM.
	Ping func(vm string) (time.Duration, error)

	asked chan struct{}

	mu          sync.Mutex // guards all below
	least       map[string]time.Duration
	pendingFrom time.Time // when a ping under way was sent; zero: none is
	pendingTo   string
	excess      time.Duration // of the last measurement
	measuredAt  time.Time
	answeredAt  time.Time // when a ping was last answered; zero: none was
}

func newPeerDelay(clock persimmoncross.Clock, controller func() string, ping func(vm string) (time.Duration, error)) *peerDelay {
	return &peerDelay{
		Clock:      clock,
		Controller: controller,
		Ping:       ping,
		asked:      make(chan struct{}, 1),
		least:      map[string]time.Duration{},
	}
}

// run measures at intervals, and when delay is called, until the context ends.
func (d *peerDelay) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.asked:
		case <-d.Clock.After(peerDelayInterval):
		}
		if vm := d.Controller(); vm != "" {
			d.measure(vm)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.Clock.After(minPeerDelayInterval):
		}
	}
}

func (d *peerDelay) measure(vm string) {
	d.mu.Lock()
	d.pendingFrom, d.pendingTo = d.Clock.Now(), vm
	d.mu.Unlock()
	took, err := d.Ping(vm)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if err != nil {
		took = now.Sub(d.pendingFrom)
	} else {
		d.answeredAt = now
	}
	if least, ok := d.least[vm]; err == nil && (!ok || took < least) {
		d.least[vm] = took
	}
	d.excess = took - d.least[vm]
	d.measuredAt = now
	d.pendingFrom = time.Time{}
}

// delay returns by how much a round trip now exceeds the least one, as far as that is known, and has it measured again.
// While no controller is followed, it is how long none has answered.
func (d *peerDelay) delay() time.Duration {
	select {
	case d.asked <- struct{}{}:
	default:
	}
	following := d.Controller() != ""
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if !following && !d.answeredAt.IsZero() {
		return now.Sub(d.answeredAt)
	}
	excess := time.Duration(0)
	if now.Sub(d.measuredAt) <= maxPeerDelayAge {
		excess = d.excess
	}
	if !d.pendingFrom.IsZero() {
		excess = max(excess, now.Sub(d.pendingFrom)-d.least[d.pendingTo])
	}
	return excess
}
