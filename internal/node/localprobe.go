package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// This file searches for a controller in the follower's own data centre. What controllers send
// to entries is most of the traffic between data centres, and links within a data centre are
// free.

// Intervals of a follower whose controller is in another data centre.
const (
	// localProbeInterval is the maximum interval between two probes of local controllers. Half
	// of it is jitter, so that a controller that comes back is not probed by all followers at
	// once.
	localProbeInterval = 4 * time.Second
	// maxFirstProbeDelay limits the random delay before the first probe. Until then, the
	// controller with a lease that was just found serves the follower.
	maxFirstProbeDelay = 500 * time.Millisecond
)

// dataCentreByController maps the addresses of controllers to their data centres.
type dataCentreByController map[string]string

// setDataCentres records the data centres of the controllers.
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

// isLocal reports whether the controller is in this VM's data centre.
func (f *follower) isLocal(controller string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.DataCentre != "" && f.dataCentres[controller] == f.DataCentre
}

// localProber probes local controllers from time to time while a controller in another data
// centre is followed, and returns the stream of one that has a lease.
type localProber struct {
	follower    *follower
	streamCtx   context.Context // context of the returned streams
	nextProbeAt time.Time       // when the next probe is due; zero: none is planned yet
	probes      int             // number of probes sent
	answer      chan *controllerStream
}

// poll returns the stream of a local controller that has answered with a lease, or nil if there
// is none. It is called at each update.
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
	// The controller answers at once, with or without a lease.
	go f.query(p.streamCtx, controller, acceptUnleased, p.answer)
	return nil
}

// nextController returns the local controller to probe, "" if none is known. It rotates through
// them, since one of them may be gone for good.
func (p *localProber) nextController() string {
	f := p.follower
	controllers := slices.DeleteFunc(f.candidates(), func(name string) bool { return !f.isLocal(name) })
	if len(controllers) == 0 {
		return ""
	}
	p.probes++
	return controllers[p.probes%len(controllers)]
}

// stop cancels a probe that is in flight.
func (p *localProber) stop() {
	if p.answer != nil {
		go closeLateStreams(p.answer, 1)
	}
}

func localProbeDelay() time.Duration {
	return localProbeInterval/2 + time.Duration(rand.Int64N(int64(localProbeInterval/2)))
}
