package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// Upstreams that bear few rejections, and the promise to operators: while they say so, they fail at
// most maxFailuresBase plus maxFailuresFraction of their number times.
const (
	limitedSlots        = 4
	limitedHold         = 300 * time.Millisecond
	limitedQueue        = 8 // requests that wait at first; later one does
	maxRejections       = 3 // in a second
	rejectionSettleTime = 3 * time.Second
	maxFailuresBase     = 2
	maxFailuresFraction = 0.1
)

// limitedUpstream is an upstream that fails if it rejects more than maxRejections requests in a
// second, from rejectionSettleTime after the start on.
type limitedUpstream struct {
	start time.Time
	slots chan struct{}

	mu         sync.Mutex // guards all below
	waiting    int
	rejections []time.Time
	rejected   int
	served     int
	failures   int
	downUntil  time.Time
}

func newLimitedUpstream() *limitedUpstream {
	return &limitedUpstream{
		start: time.Now(),
		slots: make(chan struct{}, limitedSlots),
	}
}

// enter reports whether the request may wait for a slot, or that the upstream is down.
func (u *limitedUpstream) enter() (ok, down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.downUntil) {
		return false, true
	}
	queue := limitedQueue
	if now.Sub(u.start) > rejectionSettleTime {
		queue = 1
	}
	if u.waiting < queue || len(u.slots) < limitedSlots {
		u.waiting++
		return true, false
	}
	u.rejected++
	u.rejections = append(u.rejections, now)
	for now.Sub(u.rejections[0]) >= time.Second {
		u.rejections = u.rejections[1:]
	}
	if now.Sub(u.start) > rejectionSettleTime && len(u.rejections) > maxRejections {
		u.failures++
		u.rejections = nil
		u.downUntil = now.Add(2 * time.Second)
		return false, true
	}
	return false, false
}

// ServeHTTP implements http.Handler.
func (u *limitedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	ok, down := u.enter()
	if down {
		panic(http.ErrAbortHandler)
	}
	if ok {
		u.slots <- struct{}{}
		u.mu.Lock()
		u.waiting--
		u.served++
		u.mu.Unlock()
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(limitedHold)))
		<-u.slots
	}
	u.mu.Lock()
	w.Header().Set("Load", fmt.Sprintf("%d,%d,%d", len(u.slots), u.waiting, limitedSlots))
	u.mu.Unlock()
	w.Header().Set("Request", r.Header.Get("Request"))
	w.Header().Set("Rejections", fmt.Sprint(maxRejections))
	if !ok {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Write(body)
}

// TestUpstreamsThatBearFewRejectionsSurviveOverload guards against entries that together reject
// upstreams to death: at 1.6 times what they can serve, with entries that restart and the leader lost.
func TestUpstreamsThatBearFewRejectionsSurviveOverload(t *testing.T) {
	const upstreams, entries = 12, 6
	f := newFleet(t, 157)
	var all []*limitedUpstream
	var handlers []http.Handler
	for range upstreams {
		u := newLimitedUpstream()
		all = append(all, u)
		handlers = append(handlers, u)
	}
	f.listUpstreams(handlers)
	startEntry := func(n int) *Entry {
		return f.startEntryWith(f.siteSettings(n, true), func(e *Entry) {
			e.Overload = persimmoncross.OverloadPolicy{
				Mode:         persimmoncross.OverloadAuto,
				MaxQueued:    128,
				MaxHeldBytes: 8 << 20,
			}
		})
	}
	running := f.startWithPlaces(entries, startEntry)
	for _, u := range all {
		u.mu.Lock()
		u.start = time.Now()
		u.mu.Unlock()
	}
	rate := 1.6 * upstreams * limitedSlots / limitedHold.Seconds()
	var group sync.WaitGroup
	begin := time.Now()
	for sent := 0; time.Since(begin) < rejectionSettleTime+6*time.Second; sent++ {
		switch elapsed := time.Since(begin); {
		case elapsed > 4*time.Second && f.processes["vm1"] != nil:
			f.stop("vm1")
		case elapsed > 6*time.Second && running[0].Site.Name == "vm4" && f.processes["vm4"] != nil && running[0].startedAt.Before(begin):
			f.stop("vm4")
			running[0] = startEntry(4)
		}
		e := running[rand.IntN(entries)]
		group.Go(func() { sendRequest(e, "once", "x") })
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
	}
	group.Wait()
	failures, served, rejected := 0, 0, 0
	for _, u := range all {
		u.mu.Lock()
		failures += u.failures
		served += u.served
		rejected += u.rejected
		u.mu.Unlock()
	}
	t.Logf("%d failures, %d served, %d rejected", failures, served, rejected)
	if float64(failures) > maxFailuresBase+maxFailuresFraction*upstreams {
		t.Errorf("%d upstreams of %d failed", failures, upstreams)
	}
	if served == 0 {
		t.Error("nothing was served")
	}
}

// listUpstreams lists an upstream with limitedSlots slots for each handler.
func (f *fleet) listUpstreams(handlers []http.Handler) {
	f.t.Helper()
	var list []persimmoncross.Upstream
	for i, h := range handlers {
		server := httptest.NewServer(h)
		f.t.Cleanup(server.Close)
		list = append(list, persimmoncross.Upstream{
			Name:    fmt.Sprint("u", i),
			Service: "s",
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
			Slots:   limitedSlots,
		})
	}
	f.lister.setUpstreams(list...)
}

// startWithPlaces starts three controllers and the given number of entries, and waits until the entries have their
// places.
func (f *fleet) startWithPlaces(entries int, startEntry func(n int) *Entry) []*Entry {
	f.t.Helper()
	var lastController *Controller
	for n := 1; n <= 3; n++ {
		lastController = f.startController(n, true)
	}
	running := make([]*Entry, entries)
	for n := range entries {
		running[n] = startEntry(4 + n)
	}
	f.waitForVoters(lastController, 3)
	f.declare(lastController, 1)
	f.waitFor("entries are ready and have their places", func() bool {
		for _, e := range running {
			if v := e.view.Load(); !e.Ready() || v.EntryCount != entries || e.pool.Place().Count != entries {
				return false
			}
		}
		return true
	})
	return running
}
