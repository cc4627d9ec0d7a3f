package node

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// knownAfter is the time after the third end under a request by which all VMs in
// touch know of it, and sentAfter how often it may still reach an upstream after
// that: the operators' promise.
const (
	knownAfter = 3 * time.Second
	sentAfter  = 3
)

// serving returns a fleet of three controllers and as many entries before a farm.
func serving(t *testing.T, base, upstreams int) (*fleet, *farm, []*Entry) {
	t.Helper()
	f := newFleet(t, base)
	return f, newFarm(t, f.list, upstreams), f.serve(upstreams)
}

// serve starts three controllers and as many entries before so many upstreams.
func (f *fleet) serve(upstreams int) []*Entry {
	f.t.Helper()
	var first *Controller
	for n := 1; n <= 3; n++ {
		first = f.controller(n, true)
	}
	var entries []*Entry
	for n := 4; n <= 6; n++ {
		entries = append(entries, f.entry(n))
	}
	f.voters(first, 3)
	f.declare(first, 1)
	f.await("entries are ready", func() bool {
		for _, e := range entries {
			v := e.view.Load()
			if !e.Ready() || len(v.Targets["s"]) != upstreams || v.Entries != 3 {
				return false
			}
		}
		return true
	})
	return entries
}

// Callers saw their answers cut, upstream after upstream, for as long as one
// request came again and again at all entries: it ended every upstream that ran
// it, 42 in half a minute. Three entries had each seen upstreams end under it, and
// each copy, with an id of its own, began with three runs everywhere: what a
// request did was forgotten with its attempt.
//
// Evidence: copies under ids that no entry had seen reached one upstream each, and
// ended it, seconds after the third end; entries had no line of a cut or lost
// controller meanwhile. This test failed on that code, as did the storm's below.
//
// Here three entries see one end each. After the time in which all have to know,
// no copy gets anywhere: neither at these, nor at an entry that starts then, nor
// after the leader has gone. The same path and caller with another body is served.
func TestRequestThatEndsUpstreams(t *testing.T) {
	f, places, entries := serving(t, 41, 6)
	body := poison + "once"
	for i, e := range entries {
		ask(e, "once", body)
		f.await("an upstream ends", func() bool {
			_, ok := places.ended(body, i+1)
			return ok
		})
	}
	third, _ := places.ended(body, 3)
	time.Sleep(time.Until(third.Add(knownAfter)))
	late := time.Now()
	for range 4 {
		for _, e := range entries {
			checkRefused(t, e, body)
		}
	}
	fresh := f.entry(7)
	f.await("the entry that starts is ready", fresh.Ready)
	checkRefused(t, fresh, body)
	for n := 1; n <= 3; n++ {
		if c := f.vms[fmt.Sprint("vm", n)].controller; c.Leads() {
			f.stop(c.Site.Name)
			break
		}
	}
	f.await("another controller leads", func() bool {
		return slices.ContainsFunc([]string{"vm1", "vm2", "vm3"}, func(name string) bool {
			p := f.vms[name]
			return p != nil && p.controller.leadsNow()
		})
	})
	checkRefused(t, entries[0], body)
	if n := places.reached(body, late); n > sentAfter {
		t.Errorf("it reached upstreams %d times more, over %d", n, sentAfter)
	}
	for _, e := range entries {
		if k, refusal := ask(e, "once", "another body"); refusal != nil || k.body.String() != "another body" {
			t.Errorf("another body is refused: %v", refusal)
		}
	}
}

// checkRefused sends a copy and looks at what its caller gets: at once, and true.
func checkRefused(t *testing.T, e *Entry, body string) {
	t.Helper()
	_, refusal := ask(e, "once", body)
	if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter < 5*time.Second {
		t.Errorf("%s: %+v", e.Site.Name, refusal)
	}
}

// Two such requests come every 60 ms at the entries in turn, under ids of their
// own, and a harmless one as often; upstreams end faster than they come back, and
// the harmless one is cut beside the others wherever it runs. Once the fleet
// knows, it is served as before, and the two get nowhere.
func TestStormOfRequestsThatEndUpstreams(t *testing.T) {
	for i, route := range []string{"stream", "safe"} {
		t.Run(route, func(t *testing.T) {
			_, places, entries := serving(t, 42+i, 12)
			storm(t, places, entries, route, 9*time.Second)
		})
	}
}

// The same where something before the upstreams, a sidecar or a load balancer, goes on
// taking connections while they are down, and the list tells of the next life 1.2 s
// after it has begun. A refused connection was the only evidence of an end: the look
// found a listener each time, no end was known, and both requests ran for ever.
func TestStormBehindFronts(t *testing.T) {
	for i, route := range []string{"stream", "safe"} {
		t.Run(route, func(t *testing.T) {
			f := newFleet(t, 46+i)
			places := newFarmOf(t, f.list, 12, true)
			places.listLag = 1200 * time.Millisecond
			storm(t, places, f.serve(12), route, 12*time.Second)
		})
	}
}

// storm sends two requests that end upstreams, a harmless one and others, and looks at
// what the fleet made of them.
func storm(t *testing.T, places *farm, entries []*Entry, route string, last time.Duration) {
	t.Helper()
	bodies := []string{poison + "a", poison + "b", "harmless"}
	const every, others = 60 * time.Millisecond, 6
	var group sync.WaitGroup
	var mu sync.Mutex // guards all below
	sent, whole := map[string]int{}, map[string]int{}
	type count struct{ whole, lost int }
	total := map[string]*count{
		"harmless": {},
		"others":   {},
	}
	began := time.Now()
	served := func(e *Entry, body string) {
		at := time.Since(began)
		_, refusal := ask(e, route, body)
		mu.Lock()
		defer mu.Unlock()
		kind, _, _ := strings.Cut(body, " ")
		if c := total[kind]; c != nil && refusal == nil {
			c.whole++
		} else if c != nil {
			c.lost++
		}
		if at < last/2 {
			return // the fleet has to know by then
		}
		sent[body]++
		if refusal == nil {
			whole[body]++
		}
	}
	for n := 0; time.Since(began) < last; n++ {
		for _, body := range bodies {
			group.Go(func() { served(entries[n%len(entries)], body) })
		}
		for i := range others {
			group.Go(func() { served(entries[(n+i)%len(entries)], fmt.Sprint("others ", n, i)) })
		}
		time.Sleep(every)
	}
	group.Wait()
	for _, body := range bodies[:2] {
		third, ok := places.ended(body, 3)
		if !ok {
			t.Errorf("%q has not ended three upstreams", body)
			continue
		}
		if n := places.reached(body, third.Add(knownAfter)); n > sentAfter {
			t.Errorf("%q reached upstreams %d times later than %v after the third end", body, n, knownAfter)
		}
	}
	for _, body := range bodies[:2] {
		last := places.lastAt(body).Sub(began).Round(time.Millisecond)
		third, _ := places.ended(body, 3)
		t.Logf("%q ended %d upstreams, the third at %v, and reached the last at %v", body, len(places.ends[body]), third.Sub(began).Round(time.Millisecond), last)
	}
	t.Logf("harmless: %+v, others: %+v", *total["harmless"], *total["others"])
	if 20*whole["harmless"] < 19*sent["harmless"] {
		t.Errorf("the harmless one: %d of %d whole", whole["harmless"], sent["harmless"])
	}
}

// A request that is sent over and over is not blamed for what upstreams do by
// themselves: they break off answers, end two at a time, and half of them at once.
func TestHotRequestIsNotBlamed(t *testing.T) {
	_, places, entries := serving(t, 44, 12)
	places.mu.Lock()
	places.breaks = 15
	places.mu.Unlock()
	const every, last = 10 * time.Millisecond, 6 * time.Second
	var group sync.WaitGroup
	var mu sync.Mutex // guards all below
	sent, blamed := 0, 0
	began := time.Now()
	ended := 0
	for n := 0; time.Since(began) < last; n++ {
		group.Go(func() {
			_, refusal := ask(entries[n%len(entries)], []string{"stream", "safe"}[n%2], "hot")
			mu.Lock()
			defer mu.Unlock()
			sent++
			if refusal != nil && strings.Contains(string(refusal.Code), "quarantine") {
				blamed++
			}
		})
		if step := int(time.Since(began) / (700 * time.Millisecond)); step > ended {
			ended = step
			for i := range 2 + 4*(step%2) {
				go places.all[(2*step+i)%len(places.all)].crash("")
			}
		}
		time.Sleep(every)
	}
	group.Wait()
	if blamed > 0 {
		t.Errorf("%d of %d were refused", blamed, sent)
	}
}

// An entry that is cut off from all controllers goes on serving callers: what it sees
// itself is enough for it, and once it is back, for all.
func TestEndsSeenWhileCutOff(t *testing.T) {
	f, places, entries := serving(t, 45, 6)
	body := poison + "cut off"
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("vm", n))
	}
	e := entries[0]
	for i := range 3 {
		ask(e, "once", body)
		f.await("an upstream ends", func() bool {
			_, ok := places.ended(body, i+1)
			return ok
		})
	}
	f.await("it is refused", func() bool { return refuses(e) })
	late := time.Now()
	checkRefused(t, e, body)
	for n := 1; n <= 3; n++ {
		f.controller(n, false)
	}
	// The one that found out refuses it all the while that the leader learns of it.
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				checkRefused(t, e, body)
			}
		}
	})
	f.await("all refuse it", func() bool {
		for _, e := range entries {
			e.mu.Lock()
			alone := e.keeper != nil
			e.mu.Unlock()
			if alone || !refuses(e) {
				return false
			}
		}
		return true
	})
	close(stop)
	group.Wait()
	for _, e := range entries {
		checkRefused(t, e, body)
	}
	if n := places.reached(body, late); n > 0 {
		t.Errorf("it reached upstreams %d times more", n)
	}
}

// refuses reports whether the entry refuses some request.
func refuses(e *Entry) bool {
	for _, h := range e.view.Load().Holds {
		if h.Stage == persimmoncross.HoldRefuse {
			return true
		}
	}
	return false
}
