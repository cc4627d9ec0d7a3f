package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	rolloutTime   = 12 * time.Second
	badPart       = 0.5             // of a bad version's requests fail
	leaveAfter    = 5 * time.Second // after a rollout has ended, its servers drain
	exposureShare = 0.15
	exposureSlack = 30
	withdrawTime  = 5 * time.Second
	badAnswers    = 50
	sessions      = 40
	otherPause    = 25 * time.Millisecond // between requests without a session
	sessionTime   = 5 * time.Second
	sessionPause  = 300 * time.Millisecond
	pinnedSlack   = 3
)

// arrivals are the requests that reached the service's versions.
type arrivals struct {
	mu    sync.Mutex // guards all below
	all   []*arrival
	bad   int       // bad answers of v2
	badAt time.Time // of the last that counts
}

// arrival is one request at a replica.
type arrival struct {
	version string
	session string
	at      time.Time
	ended   time.Time
	id      string
}

// oldVersion: v2 is bad and is rolled back. Then v3, which is good, is ordered, while the servers of v2
// are still there: they drain some seconds after the roll-back.
var oldVersion = scenario{
	entries:  3,
	replicas: func(*play) []*replica { return engines("v1", 1) },
	run: func(p *play) error {
		seen := &arrivals{}
		work := func(x *exchange) bool {
			r := x.replica
			a := &arrival{
				version: r.version,
				session: x.request.Header.Get("Session"),
				at:      time.Now(),
				id:      x.id,
			}
			defer seen.end(a)
			seen.mu.Lock()
			seen.all = append(seen.all, a)
			failed := r.version == "v2" && rand.Float64() < badPart
			if failed {
				seen.bad++
				if seen.bad == badAnswers {
					seen.badAt = time.Now()
				}
			}
			seen.mu.Unlock()
			r.record.say("%s (%s) runs %s", r.id, r.version, x.id)
			time.Sleep(20 * time.Millisecond)
			if failed {
				return x.answer(http.StatusInternalServerError, nil, "")
			}
			return x.stream(map[string]string{name("confidence"): "90"}, 20, 20*time.Millisecond)
		}
		for _, r := range p.list.all {
			r.work = work
		}
		stop := make(chan bool)
		for n := range sessions {
			p.work.Go(func() { p.session(n, stop) })
		}
		p.work.Go(func() {
			for n := sessions; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(otherPause):
				}
				p.work.Go(func() {
					p.clients.call(p.fleet.entries()[n%len(p.fleet.entries())], http.MethodPost, "/stream/x", 20*time.Second, promptHeaders(n))
				})
			}
		})
		time.Sleep(2 * time.Second)
		began := time.Now()
		bad, err := p.rollout("v2", work)
		if err != nil {
			return err
		}
		if state, err := p.awaitRollout(); err != nil || state != name("withdrawn") {
			return fmt.Errorf("v2: %s, %v", state, err)
		}
		withdrawn := time.Now()
		p.work.Go(func() {
			time.Sleep(leaveAfter)
			p.drain(bad)
		})
		if p.trouble {
			time.Sleep(400 * time.Millisecond)
			if _, err := p.rollout("v3", work); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(rolloutTime + 2*time.Second)))
		close(stop)
		p.work.Wait()
		seen.checkPinned(p.record, withdrawn)
		seen.check(p.record, began, withdrawn)
		return nil
	},
}

// session sends the requests of one session, one after the other.
func (p *play) session(n int, stop <-chan bool) {
	time.Sleep(time.Duration(n) * 10 * time.Millisecond)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		more := promptHeaders(n)
		more["Session"] = fmt.Sprintf("s%03d", n)
		p.clients.call(p.fleet.entries()[(n+i)%len(p.fleet.entries())], http.MethodPost, "/stream/x", 20*time.Second, more)
		time.Sleep(sessionPause)
	}
}

// end notes that a request has ended.
func (a *arrivals) end(x *arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x.ended = time.Now()
}

// checkPinned applies the rule PINNED to v2 after it was rolled back: no session that ran on v1 moves
// to it.
func (a *arrivals) checkPinned(r *record, withdrawn time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := map[string]*arrival{}
	moved := 0
	for _, x := range a.all {
		before := last[x.session]
		last[x.session] = x
		if x.session == "" || before == nil || before.ended.IsZero() || before.version != "v1" || x.version != "v2" || x.at.Sub(before.ended) > sessionTime || x.at.Before(withdrawn.Add(500*time.Millisecond)) {
			continue
		}
		moved++
		r.say("session %s ran on v1 (%s) and now runs on v2 (%s), which was rolled back", x.session, before.id, x.id)
	}
	if moved > pinnedSlack {
		r.breaks("PINNED: %d requests ran on v2, which was rolled back, though the one before in their session ran on v1 within %v; %d are allowed", moved, sessionTime, pinnedSlack)
	}
}

// rollout starts servers of a version and orders that the traffic be moved to them.
func (p *play) rollout(version string, work func(x *exchange) bool) ([]*replica, error) {
	servers := engines(version, 1)
	for _, r := range servers {
		r.work = work
		if err := p.list.add(r); err != nil {
			return nil, err
		}
	}
	p.record.say("rollout to %s is ordered", version)
	body := fmt.Sprintf(`{"service":"engine","target":%q,"duration_s":%g}`, version, rolloutTime.Seconds())
	return servers, p.fleet.order(http.MethodPost, "/rollouts", body, time.Now().Add(4*time.Second))
}

// awaitRollout waits until the rollout has ended.
func (p *play) awaitRollout() (string, error) {
	for deadline := time.Now().Add(rolloutTime + 3*time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		status, body := p.fleet.control(http.MethodGet, "/rollouts/engine", "")
		answer := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && answer.State != "running" {
			return answer.State, nil
		}
	}
	return "", fmt.Errorf("the rollout has not ended")
}

// drain empties servers and takes them away.
func (p *play) drain(servers []*replica) {
	for _, r := range servers {
		p.record.say("%s is draining", r.id)
		r.setState("draining")
	}
	time.Sleep(5 * time.Second)
	for _, r := range servers {
		p.list.remove(r)
	}
}

// check applies the rule EXPOSURE to v2.
func (a *arrivals) check(r *record, began, withdrawn time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	total, exposed, after, late := 0, 0, 0, 0
	for _, x := range a.all {
		if x.at.Before(began) || x.at.After(began.Add(rolloutTime)) {
			continue
		}
		total++
		if x.version != "v2" {
			continue
		}
		exposed++
		if x.at.After(withdrawn.Add(500 * time.Millisecond)) {
			after++
		}
		if !a.badAt.IsZero() && x.at.After(a.badAt.Add(withdrawTime)) {
			late++
		}
	}
	allowed := exposureShare*float64(total) + exposureSlack
	r.say("of %d requests in the time of its rollout v2 got %d, %.0f are allowed; %d of them later than 0.5 s after it was rolled back; %d later than 5 s after its 50th bad answer", total, exposed, allowed, after, late)
	if float64(exposed) > allowed {
		r.breaks("EXPOSURE: the bad version v2 got %d requests of %d between its order and its deadline, %.0f are allowed; %d of them came after it was rolled back", exposed, total, allowed, after)
	}
	if late > 0 {
		r.breaks("EXPOSURE: the bad version v2 got %d requests later than 5 s after its 50th bad answer", late)
	}
}
