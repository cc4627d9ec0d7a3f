package node

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// leaselessController is a controller whose first updates carry no lease, like those of all
// controllers after a start of the whole fleet.
type leaselessController struct {
	updatesBeforeLease int // number of updates without the lease; negative: it never gets one
	sentUpdates        atomic.Int64
}

func (h *leaselessController) Receive(persimmoncross.Message) {}

func (h *leaselessController) Call(ctx context.Context, _ *wire.Call, s *peer.Stream) {
	for n := 0; ctx.Err() == nil; n++ {
		u := &wire.Update{
			Age:    -1,
			Leased: h.updatesBeforeLease >= 0 && n >= h.updatesBeforeLease,
		}
		// The update is counted before it is sent, so that no follower has it uncounted.
		h.sentUpdates.Add(1)
		if s.Send(u) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// newTestFollower returns a follower whose only seed is a controller with the handler.
func newTestFollower(t *testing.T, h peer.Handler) *follower {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	newNode := func(vm string) *peer.Node {
		n := &peer.Node{
			VM:      vm,
			Open:    true,
			Clock:   persimmoncross.SystemClock{},
			Metrics: metrics.NewRegistry(),
			Log:     zerolog.Nop(),
		}
		n.Prepare()
		return n
	}
	controller := newNode(listener.Addr().String())
	controller.Handler = h
	controller.Listener = listener
	entry := newNode("127.0.0.1:1")
	go controller.Run(ctx)
	go entry.Run(ctx)
	return &follower{
		Name:        "entry",
		Node:        entry,
		Clock:       persimmoncross.SystemClock{},
		Log:         zerolog.Nop(),
		Metrics:     metrics.NewRegistry(),
		Seeds:       func() []string { return []string{listener.Addr().String()} },
		ApplyUpdate: func(*wire.Update) bool { return true },
	}
}

// findController repeats the search until a controller is found, as a follower does, because the
// follower's own node may not run yet.
func findController(t *testing.T, f *follower) *controllerStream {
	for t.Context().Err() == nil {
		if got := f.findController(t.Context()); got != nil {
			return got
		}
	}
	return nil
}

// TestSearchWaitsForLease checks that a controller which obtains the lease during the search is
// followed from then on.
func TestSearchWaitsForLease(t *testing.T) {
	h := &leaselessController{
		updatesBeforeLease: 5,
	}
	f := newTestFollower(t, h)
	got := findController(t, f)
	defer got.cancel()
	if !got.leased || h.sentUpdates.Load() <= 5 {
		t.Errorf("leased %v after %d updates, want the lease after more than 5", got.leased, h.sentUpdates.Load())
	}
}

// TestSearchEndsWithoutLease checks that a controller which never obtains the lease is followed
// when the search ends, because an old state is better than none.
func TestSearchEndsWithoutLease(t *testing.T) {
	f := newTestFollower(t, &leaselessController{
		updatesBeforeLease: -1,
	})
	got := findController(t, f)
	defer got.cancel()
	if got.leased {
		t.Error("the stream is leased although no controller has the lease")
	}
}
