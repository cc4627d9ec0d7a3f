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
	// localProbeInterval is the pause between two questions to a near controller, half of it by
	// chance: a controller that is back is not asked by all at once.
	localProbeInterval = 4 * time.Second
	// maxFirstProbeDelay bounds the pause before the first: who has just found a controller that
	// has a lease is served by it meanwhile.
	maxFirstProbeDelay = 500 * time.Millisecond
)

// dataCentreByController are the data centres of controllers, by address.
type dataCentreByController map[string]string

// setDataCentres takes where the controllers are.
func (f *follower) setDataCentres(controllers, dataCentres []string) {
	if len(controllers) != len(dataCentres) {
		return
	}
	next := dataCentreByController{}
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
	f.dataCentres = next
}

// isLocal reports whether the controller stands in this VM's data centre.
func (f *follower) isLocal(controller string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.DataCentre != "" && f.dataCentres[controller] == f.DataCentre
}

// localProber asks a near controller now and then while one elsewhere is followed, and
// returns it once its state is recent.
type localProber struct {
	follower    *follower
	streamCtx   context.Context // of what it returns
	nextProbeAt time.Time       // of the next question; zero: none was planned yet
	probes      int             // questions
	answer      chan *controllerStream
}

// poll returns a near controller that has answered, nil if none has. It is called at
// each update.
func (p *localProber) poll(followed string, now time.Time) *controllerStream {
	f := p.follower
	if p.answer != nil {
		select {
		case a := <-p.answer:
			p.answer = nil
			if a != nil && a.leased {
				return a
			}
			if a != nil {
				a.cancel()
			}
		default:
		}
		return nil
	}
	if f.OnlyController != nil || f.isLocal(followed) {
		return nil
	}
	if p.nextProbeAt.IsZero() {
		p.nextProbeAt = now.Add(time.Duration(rand.Int64N(int64(maxFirstProbeDelay))))
	}
	if now.Before(p.nextProbeAt) {
		return nil
	}
	p.nextProbeAt = now.Add(localProbeDelay())
	controller := p.nextController()
	if controller == "" {
		return nil
	}
	p.answer = make(chan *controllerStream, 1)
	acceptUnleased := &atomic.Bool{}
	acceptUnleased.Store(true)
	f.incrementCounter("follow.asked-near")
	// It answers with what it has, a lease or not, as soon as it can.
	go f.query(p.streamCtx, controller, acceptUnleased, p.answer)
	return nil
}

// nextController returns the near controller to ask, "" if none is known: each in its turn, as one
// may be gone for good.
func (p *localProber) nextController() string {
	f := p.follower
	controllers := slices.DeleteFunc(f.candidates(), func(name string) bool { return !f.isLocal(name) })
	if len(controllers) == 0 {
		return ""
	}
	p.probes++
	return controllers[p.probes%len(controllers)]
}

// stop ends a question that is under way.
func (p *localProber) stop() {
	if p.answer != nil {
		go closeLateStreams(p.answer, 1)
	}
}

func localProbeDelay() time.Duration {
	return localProbeInterval/2 + time.Duration(rand.Int64N(int64(localProbeInterval/2)))
}
