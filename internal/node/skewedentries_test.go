package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"persimmoncross/core/state/catalog"
)

// While most new connections go to one entry, requests are served at least minSkewedFraction as often as before, from
// skewSettleTime on.
const (
	minSkewedFraction = 0.75
	skewSettleTime    = 3 * time.Second
	skewedFraction    = 0.9 // of the requests
)

// limitingUpstream names a limit in its responses, of all entries' requests together.
type limitingUpstream struct{ limit float64 }

// ServeHTTP implements http.Handler.
func (u limitingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(limitedHold / 4)
	w.Header().Set("Request", r.Header.Get("Request"))
	w.Header().Set("Limit", fmt.Sprint(u.limit))
}

// slowUpstream answers after a second.
type slowUpstream struct{}

// ServeHTTP implements http.Handler.
func (slowUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Second)
	w.Header().Set("Request", r.Header.Get("Request"))
}

// startEntryWithConns starts an entry to which each upstream is one that accepts so many connections.
func (f *fleet) startEntryWithConns(n, maxConns int) *Entry {
	return f.startEntryWith(f.siteSettings(n, true), func(e *Entry) {
		e.Decode = func(document []byte) (*catalog.Catalog, error) {
			c, err := decodeTestCatalog(document)
			c.Services["s"].MaxConns = maxConns
			return c, err
		}
	})
}

// TestMostRequestsAtOneEntryAreServed guards against an entry that keeps an equal part of what upstreams allow or
// accept while nearly all requests come to it.
func TestMostRequestsAtOneEntryAreServed(t *testing.T) {
	for i, tt := range []struct {
		name        string
		newUpstream func() http.Handler
		maxConns    int // that an upstream accepts; 0: any number
	}{
		{"limit", func() http.Handler { return limitingUpstream{limit: 20} }, 0},
		{"rejections", func() http.Handler { return newLimitedUpstream() }, 0},
		{"connections", func() http.Handler { return slowUpstream{} }, 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const upstreams, entries = 12, 6
			f := newFleet(t, 160+i)
			var handlers []http.Handler
			for range upstreams {
				handlers = append(handlers, tt.newUpstream())
			}
			f.listUpstreams(handlers)
			running := f.startWithPlaces(entries, func(n int) *Entry { return f.startEntryWithConns(n, tt.maxConns) })
			checkSkewedRequests(t, running, 0.5*upstreams*limitedSlots/limitedHold.Seconds())
		})
	}
}

// checkSkewedRequests sends requests at the rate, most of them to the first entry from a third of the time on.
func checkSkewedRequests(t *testing.T, entries []*Entry, rate float64) {
	t.Helper()
	const evenTime, duration = 4 * time.Second, 11 * time.Second
	type count struct{ sent, served int }
	var before, after count
	var mu sync.Mutex // guards before and after
	var group sync.WaitGroup
	start := time.Now()
	for sent := 0; time.Since(start) < duration; sent++ {
		elapsed := time.Since(start)
		e := entries[rand.IntN(len(entries))]
		if elapsed >= evenTime && rand.Float64() < skewedFraction {
			e = entries[0]
		}
		group.Go(func() {
			_, refusal := sendRequest(e, "once", "x")
			mu.Lock()
			defer mu.Unlock()
			c := &before
			if elapsed >= evenTime+skewSettleTime {
				c = &after
			} else if elapsed >= evenTime || elapsed < evenTime/2 {
				return // limits are being learnt, or shares are changing
			}
			c.sent++
			if refusal == nil {
				c.served++
			}
		})
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
	}
	group.Wait()
	t.Logf("before %+v, after %+v", before, after)
	if float64(after.served)*float64(before.sent) < minSkewedFraction*float64(before.served)*float64(after.sent) {
		t.Errorf("%d of %d served, before %d of %d", after.served, after.sent, before.served, before.sent)
	}
}
