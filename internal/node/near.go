package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// How a follower finds a controller in its own data centre: what controllers send to
// entries is most of the bytes between data centres, and links within one are free.

// Of a follower that follows a controller elsewhere.
const (
	// nearEvery is the pause between two questions to a near controller, half of it by
	// chance: a controller that is back is not asked by all at once.
	nearEvery = 4 * time.Second
	// nearFirst bounds the pause before the first: who has just found a controller that
	// has a lease is served by it meanwhile.
	nearFirst = 500 * time.Millisecond
)

// places are the data centres of controllers, by address.
type places map[string]string

// learnPlaces takes where the controllers are.
func (f *follower) learnPlaces(controllers, dataCentres []string) {
	if len(controllers) != len(dataCentres) {
		return
	}
	next := places{}
	for i, name := range controllers {
		if dataCentres[i] != "" {
			next[name] = dataCentres[i]
		}
	}
	if len(next) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places = next
}

// near reports whether the controller stands in this VM's data centre.
func (f *follower) near(controller string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.DataCentre != "" && f.places[controller] == f.DataCentre
}

// nearer asks a near controller now and then while one elsewhere is followed, and
// returns it once its state is recent.
type nearer struct {
	follower *follower
	life     context.Context // of what it returns
	at       time.Time       // of the next question; zero: none was planned yet
	asked    int             // questions
	answer   chan *found
}

// look returns a near controller that has answered, nil if none has. It is called at
// each update.
func (n *nearer) look(target string, now time.Time) *found {
	f := n.follower
	if n.answer != nil {
		select {
		case a := <-n.answer:
			n.answer = nil
			if a != nil && a.leased {
				return a
			}
			if a != nil {
				a.end()
			}
		default:
		}
		return nil
	}
	if f.Only != nil || f.near(target) {
		return nil
	}
	if n.at.IsZero() {
		n.at = now.Add(time.Duration(rand.Int64N(int64(nearFirst))))
	}
	if now.Before(n.at) {
		return nil
	}
	n.at = now.Add(nearPause())
	one := n.next()
	if one == "" {
		return nil
	}
	n.answer = make(chan *found, 1)
	over := &atomic.Bool{}
	over.Store(true)
	f.count("follow.asked-near")
	// It answers with what it has, a lease or not, as soon as it can.
	go f.ask(n.life, one, over, n.answer)
	return nil
}

// next returns the near controller to ask, "" if none is known: each in its turn, as one
// may be gone for good.
func (n *nearer) next() string {
	f := n.follower
	ones := slices.DeleteFunc(f.targets(), func(name string) bool { return !f.near(name) })
	if len(ones) == 0 {
		return ""
	}
	n.asked++
	return ones[n.asked%len(ones)]
}

// stop ends a question that is under way.
func (n *nearer) stop() {
	if n.answer != nil {
		go discard(n.answer, 1)
	}
}

func nearPause() time.Duration {
	return nearEvery/2 + time.Duration(rand.Int64N(int64(nearEvery/2)))
}
