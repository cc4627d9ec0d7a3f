package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Pauses of a follower.
const (
	followPause = 100 * time.Millisecond // before the next controller is asked
	// staleWait is how long a controller without a lease is followed before
	// another one is tried.
	staleWait = 700 * time.Millisecond
)

// follower keeps a stream of updates from some controller. The exported fields
// are set before Run.
type follower struct {
	Name     string // of this VM, as controllers know it
	Entry    bool
	Node     *peer.Node
	Clock    persimmoncross.Clock
	Log      zerolog.Logger
	Seeds    func() []string
	Only     func() string // the one controller to follow; nil: any
	Accounts func() []*wire.Account
	Take     func(u *wire.Update)

	mu          sync.Mutex // guards controllers
	controllers []string
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		if target := f.target(try); target != "" {
			err := f.follow(ctx, target)
			f.Log.Debug().Err(err).Str("controller", target).Msg("not following")
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(followPause):
		}
	}
}

// target returns the controller to ask: each in turn, in an order of this VM's
// own, so that the followers spread over all.
func (f *follower) target(try int) string {
	if f.Only != nil {
		return f.Only()
	}
	f.mu.Lock()
	names := slices.Clone(f.controllers)
	f.mu.Unlock()
	for _, s := range f.Seeds() {
		if !slices.Contains(names, s) {
			names = append(names, s)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := xxhash.Sum64String(f.Name+a), xxhash.Sum64String(f.Name+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return names[try%len(names)]
}

func (f *follower) follow(ctx context.Context, target string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := f.Node.Call(ctx, target, &wire.Call{
		Body: &wire.Call_Follow{
			Follow: &wire.Follow{
				Vm:    f.Name,
				Entry: f.Entry,
			},
		},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	go f.account(ctx, s)
	since := time.Time{} // without a lease
	for {
		s.Deadline(time.Now().Add(updateSilence))
		u := &wire.Update{}
		if err := s.Receive(u); err != nil {
			return err
		}
		f.learn(u.GetControllers())
		f.Take(u)
		if f.Only != nil && f.Only() != target {
			return nil
		}
		now := f.Clock.Now()
		switch {
		case u.GetLeased():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > staleWait && f.Only == nil:
			return errStale
		}
	}
}

// errStale ends following a controller whose state may be old.
var errStale = failure("follow", Unavailable, context.DeadlineExceeded)

func (f *follower) learn(controllers []string) {
	if len(controllers) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controllers = controllers
}

// account tells the controller what this VM saw.
func (f *follower) account(ctx context.Context, s *peer.Stream) {
	for {
		for _, a := range f.Accounts() {
			if s.Send(a) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-f.Clock.After(accountEvery):
		}
	}
}
