package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment that has evacuations (shifted/LATER.md).
const (
	evacuateBound = 5 * time.Second         // evacuate_ms
	stableWindow  = 4 * time.Second         // stable_window_ms
	cutTime       = 1900 * time.Millisecond // from when the operator sends the order
	pauseTime     = 400 * time.Millisecond  // between two of its orders
	rounds        = 4
)

// evacuation: a zone is evacuated, taken back and evacuated again, while the node that the operator asks first is cut
// off from the other core machines for a moment.
func evacuation(f *fleet, trouble bool) (int, error) {
	if err := f.plan(3, 2); err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{} // by zone
	for n := range 6 {
		r := &replica{
			id: fmt.Sprintf("i-%d", n+1), service: "app", version: "v1", zone: zones[n%2], slots: 8, work: 10 * time.Millisecond,
			ran: func(r *replica, request string, at time.Time) {
				f.say("replica %s (%s) runs %s", r.id, r.zone, request)
				mu.Lock()
				defer mu.Unlock()
				arrivals[r.zone] = append(arrivals[r.zone], at)
			},
		}
		if err := f.add(r); err != nil {
			return notRun, err
		}
	}
	if err := f.start(f.document); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.clients(stop)
	since := func(zone string, from, to time.Time) (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, at := range arrivals[zone] {
			if at.After(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	zone := zones[1]
	path := "/evacuate/" + zone
	time.Sleep(stableWindow)
	for round := range rounds {
		f.say("round %d", round+1)
		leader := f.leader()
		var first *process
		var others []*process
		for _, p := range f.controllers {
			if p != leader && first == nil {
				first = p
			} else {
				others = append(others, p)
			}
		}
		if !f.order(4*time.Second, "POST", path, nil, others...) {
			return notRun, fmt.Errorf("the evacuation was not acknowledged")
		}
		time.Sleep(evacuateBound + time.Second)
		began := time.Now()
		if n := since(zone, began.Add(-time.Second), began); n > 0 {
			return notRun, fmt.Errorf("%d requests reached the zone before the disruption", n)
		}
		if trouble {
			f.cut(first, true)
		}
		if !f.order(4*time.Second, "DELETE", path, nil, append([]*process{first}, others...)...) {
			return notRun, fmt.Errorf("the end of the evacuation was not acknowledged")
		}
		time.Sleep(pauseTime)
		if !f.order(4*time.Second, "POST", path, nil, others...) {
			return notRun, fmt.Errorf("the second evacuation was not acknowledged")
		}
		acknowledged := time.Now()
		if trouble {
			time.Sleep(time.Until(began.Add(cutTime)))
			f.cut(first, false)
		}
		calm := time.Now().Add(stableWindow)
		if t := acknowledged.Add(evacuateBound); t.After(calm) {
			calm = t
		}
		end := calm.Add(3 * time.Second)
		time.Sleep(time.Until(end))
		n := since(zone, calm, end)
		f.say("requests that reached %s from %.1f s after its evacuation was acknowledged, over 3 s: %d", zone, calm.Sub(acknowledged).Seconds(), n)
		if n > 0 {
			return broken, nil
		}
		if !f.order(4*time.Second, "DELETE", path, nil, others...) {
			return notRun, fmt.Errorf("the end of the evacuation was not acknowledged")
		}
		time.Sleep(2 * time.Second)
	}
	return held, nil
}

// clients send a request each 50 ms, to the entries in turn.
func (f *fleet) clients(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		go func() {
			p := f.entries[n%len(f.entries)]
			id := fmt.Sprintf("r-%d", n)
			header := http.Header{}
			header.Set("Host", "case.example")
			header.Set(names["request"], id)
			header.Set(names["deadline"], "3000")
			status, _, err := call(f.address(p, callerPort), "GET", "/safe/x", header, nil, 3*time.Second)
			f.say("client: %s to %s: %d %v", id, p.name, status, err)
		}()
	}
}
