package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Pauses of a follower.
const (
	followPause = 100 * time.Millisecond // before the next controller is asked
	// staleWait is how long a controller without a lease is followed before
	// another one is tried.
	staleWait = 300 * time.Millisecond
	// findStagger is the pause before the next controller is asked beside the
	// one that has not answered yet; findWait ends the search.
	findStagger = 200 * time.Millisecond
	findWait    = 1200 * time.Millisecond
)

// follower keeps a stream of updates from some controller. The exported fields
// are set before Run.
type follower struct {
	Name  string // of this VM, as controllers know it
	Entry bool
	// DataCentre is that of this VM. Controllers there are followed before others; "":
	// any.
	DataCentre string
	Node       *peer.Node
	Clock      persimmoncross.Clock
	Log        zerolog.Logger
	Metrics    metrics.Registry
	Seeds      func() []string
	Only       func() string // the one controller to follow; nil: any
	Accounts   func() []*wire.Account
	// Loads returns what the follower knows of the upstreams' loads.
	Loads func() []*wire.UpstreamLoad
	// TakeLoads takes the loads that the controller knows of: loadBytes for each
	// of the lives.
	TakeLoads func(lives []string, loads []byte)
	// Incarnation tells this process from those before it; "" where that says
	// nothing.
	Incarnation string
	// Cases returns what changed of the cases that the follower knows of since a
	// count of news, 0 for all, and the count now; may be nil.
	Cases func(since uint64) ([]*wire.Case, uint64)
	// Limits are those that the follower knows of.
	Limits *ratelimit.Store
	// TakeHolds brings the holds of the state with the index into force; nil where
	// they come with the log.
	TakeHolds func(held uint64, holds map[persimmoncross.Digest]persimmoncross.Hold)
	// Held returns the document that is held here, TakeDocument brings another into
	// force; nil where documents come with the log.
	Held         func() document
	TakeDocument func(number uint64, source []byte)
	// Take brings an update into force. It returns false if the update's list is
	// older than the one in force; the list then comes again with the next update.
	Take func(u *wire.Update) bool

	mu          sync.Mutex // guards all below
	controllers []string
	places      places
	last        map[string]*wire.Upstream // the list, as some stream told it; never changed
	followed    string
	failed      string // the one that was followed last
	anew        bool   // the document held is no base: it is asked for whole
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	var won *found
	for ctx.Err() == nil {
		if won == nil {
			won = f.find(ctx)
		}
		if won != nil {
			next, err := f.follow(ctx, won)
			why := whyLeft(err)
			f.count("follow.left." + why)
			f.Log.Info().Err(err).Str("controller", won.target).Str("why", why).Int64("bytes", won.stream.Received()).Msg("not following any more")
			if won = next; won != nil {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(followPause):
		}
	}
}

// whyLeft returns the reason for which a following ended, as it is counted.
func whyLeft(err error) string {
	switch {
	case err == nil:
		return "leader" // another controller leads
	case errors.Is(err, errStale):
		return "stale"
	case errors.Is(err, errNear):
		return "near"
	case errors.Is(err, yamux.ErrTimeout):
		return "silent"
	}
	return "broken"
}

func (f *follower) count(name string) {
	metrics.GetOrRegisterCounter(name, f.Metrics).Inc(1)
}

// targets returns the controllers to ask: those of this VM's data centre first, in an
// order of this VM's own, so that the followers spread over all; the one that failed
// last comes last.
func (f *follower) targets() []string {
	if f.Only != nil {
		if only := f.Only(); only != "" {
			return []string{only}
		}
		return nil
	}
	f.mu.Lock()
	names := slices.Clone(f.controllers)
	failed, places := f.failed, f.places
	f.mu.Unlock()
	for _, s := range f.Seeds() {
		if !slices.Contains(names, s) {
			names = append(names, s)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := xxhash.Sum64String(f.Name+a), xxhash.Sum64String(f.Name+b)
		here := func(name string) bool { return f.DataCentre != "" && places[name] == f.DataCentre }
		switch {
		case a == b:
			return 0
		case a == failed:
			return 1
		case b == failed:
			return -1
		case here(a) != here(b):
			if here(a) {
				return -1
			}
			return 1
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return names
}

// find asks the controllers one after the other, without waiting long for any,
// and returns the first whose state is recent; failing that, any that answers.
// A controller that was cut off does not answer for seconds, and a change must
// be in force here sooner than that.
func (f *follower) find(ctx context.Context) *found {
	targets := f.targets()
	if len(targets) == 0 {
		return nil // as long as no leader is known
	}
	answers := make(chan *found, len(targets))
	over := &atomic.Bool{} // those that wait for a lease answer with what they have
	late := f.Clock.After(findWait)
	end := f.Clock.After(findWait + updateSilence)
	next := f.Clock.After(0)
	asked, answered := 0, 0
	var best *found
	for searching := true; searching; {
		select {
		case <-next:
			f.count("follow.asked")
			go f.ask(ctx, targets[asked], over, answers)
			asked++
			next = nil
			if asked < len(targets) {
				next = f.Clock.After(findStagger)
			}
		case a := <-answers:
			answered++
			best = f.better(best, a)
		case <-late:
			over.Store(true)
		case <-end:
			searching = false
		case <-ctx.Done():
			searching = false
		}
		enough := best != nil && (best.leased || over.Load())
		searching = searching && !enough && answered < len(targets)
	}
	over.Store(true)
	go discard(answers, asked-answered)
	return best
}

// better keeps the one whose state is recent, of two such the near one, and ends the
// other.
func (f *follower) better(a, b *found) *found {
	switch {
	case b == nil:
		return a
	case a == nil:
		return b
	case b.leased && !a.leased, b.leased == a.leased && f.near(b.target) && !f.near(a.target):
		a.end()
		return b
	}
	b.end()
	return a
}

// discard ends the answers that come too late.
func discard(answers <-chan *found, outstanding int) {
	for range outstanding {
		if a := <-answers; a != nil {
			a.end()
		}
	}
}

// ask opens a stream and takes updates from it until the controller's state is
// recent, as after a start of all of them, or the search is over.
func (f *follower) ask(ctx context.Context, target string, over *atomic.Bool, answers chan<- *found) {
	ctx, cancel := context.WithCancel(ctx)
	held, list := f.held(), f.lastList()
	s, err := f.Node.Call(ctx, target, &wire.Call{
		Body: &wire.Call_Follow{
			Follow: &wire.Follow{
				Vm:     f.Name,
				Entry:  f.Entry,
				Number: held.number,
				Sum:    held.sum,

				Datacentre: f.DataCentre,
				List:       listSums(list),
				Packed:     true,
				Bitmaps:    true,
			},
		},
	})
	if err != nil {
		cancel()
		answers <- nil
		return
	}
	a := &found{
		target: target,
		stream: s,
		list:   maps.Clone(list),
		end: func() {
			cancel()
			s.Close()
		},
	}
	s.Silence(findWait)
	for first := true; first || !a.leased && !over.Load(); first = false {
		u := &wire.Update{}
		err := s.Receive(u)
		if err != nil {
			f.Node.Suspect(target, updateSilence)
		} else {
			err = a.take(f, u)
		}
		if err != nil {
			a.end()
			answers <- nil
			return
		}
		a.leased = u.GetLeased()
	}
	answers <- a
}

// follow takes updates until they stay away, their state is not recent, or a nearer
// controller has answered, which it returns.
func (f *follower) follow(ctx context.Context, won *found) (next *found, err error) {
	defer won.end()
	defer func() { f.blame(won.target) }()
	f.Log.Info().Str("controller", won.target).Bool("near", f.near(won.target)).Msg("following")
	f.follows(won.target)
	defer f.follows("")
	nearer := &nearer{
		follower: f,
		life:     ctx,
	}
	defer nearer.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.account(ctx, won.stream)
	since := time.Time{} // without a lease
	won.stream.Silence(updateSilence)
	for {
		u := &wire.Update{}
		if err := won.stream.Receive(u); err != nil {
			f.Node.Suspect(won.target, updateSilence)
			return nil, err
		}
		if err := won.take(f, u); err != nil {
			return nil, err
		}
		if f.Only != nil && f.Only() != won.target {
			return nil, nil
		}
		now := f.Clock.Now()
		if next := nearer.look(won.target, now); next != nil {
			return next, errNear
		}
		switch {
		case u.GetLeased():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > staleWait && f.Only == nil:
			return nil, errStale
		}
	}
}

// lastList returns the list that this VM was told last, by life.
func (f *follower) lastList() map[string]*wire.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// keepList keeps it.
func (f *follower) keepList(list map[string]*wire.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = maps.Clone(list)
}

// follows notes which controller is followed, "" for none.
func (f *follower) follows(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = target
}

func (f *follower) blame(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = target
}

// errNear ends following a controller for one in this VM's data centre.
var errNear = failure("follow", Unavailable, errors.New("a controller in this data centre has answered"))

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

func (f *follower) caseAccount(cases []*wire.Case) *wire.Account {
	return &wire.Account{
		Incarnation: f.Incarnation,
		Cases:       cases,
	}
}

// account tells the controller what this VM saw.
func (f *follower) account(ctx context.Context, s *peer.Stream) {
	told, step := time.Time{}, time.Time{}
	silent := false // the account of loads before was empty
	counts := accounted{}
	news, limited := uint64(0), uint64(0)
	for {
		now := f.Clock.Now()
		if now.Sub(step) >= accountEvery {
			step = now
			late := now.Sub(told) >= presentEvery
			for _, a := range f.Accounts() {
				a = counts.lacking(a)
				if f.Entry && !late && len(a.GetTrials()) == 0 && len(a.GetRecent()) == 0 {
					continue
				}
				if s.Send(a) != nil {
					return
				}
				told = now
			}
		}
		a := &wire.Account{
			Loads: f.Loads(),
		}
		if len(a.Loads) > 0 || !silent {
			if s.Send(a) != nil {
				return
			}
		}
		silent = len(a.Loads) == 0
		var cases []*wire.Case
		if f.Cases != nil {
			cases, news = f.Cases(news)
		}
		for part := range slices.Chunk(cases, casesAtOnce) {
			if s.Send(f.caseAccount(part)) != nil {
				return
			}
		}
		var err error
		if limited, err = f.sendLimits(s, limited); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.Limits.Changed():
		case <-f.Clock.After(loadEvery):
		}
	}
}
