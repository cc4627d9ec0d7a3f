package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	recoverTime = 12 * time.Second
	judgeTime   = 6 * time.Second // for which requests are judged before and after the final fault
	downTime    = 700 * time.Millisecond
	servedPart  = 0.25
)

// tally counts requests and those that were served.
type tally struct {
	mu           sync.Mutex // guards all below
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(x reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	t.sent++
	t.statuses[x.status]++
	if x.status == http.StatusOK && x.err == nil {
		t.served++
	}
}

func (t *tally) part() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// sameVersion: the operator orders, for each service, the version that it runs already; the platform
// starts servers of it alongside. Right after the acknowledgement comes the final fault: all processes
// are killed and started again.
var sameVersion = scenario{
	entries: 6,
	replicas: func(*play) []*replica {
		return append(engines("v1", 1), plainServers(1)...)
	},
	run: func(p *play) error {
		work := func(x *exchange) bool {
			x.replica.record.say("%s (%s) runs %s", x.replica.id, x.replica.version, x.id)
			time.Sleep(20 * time.Millisecond)
			if x.replica.service == "plain" {
				return x.answer(http.StatusOK, nil, "the answer to "+x.id)
			}
			return x.stream(map[string]string{name("confidence"): "90"}, 10, 20*time.Millisecond)
		}
		for _, r := range p.list.all {
			r.work = work
		}
		send := func(d time.Duration) *tally {
			t := &tally{}
			for n, until := 0, time.Now().Add(d); time.Now().Before(until); n++ {
				p.work.Go(func() {
					entry := p.fleet.entries()[n%len(p.fleet.entries())]
					if n%4 == 0 {
						t.add(p.clients.call(entry, http.MethodPost, "/unsafe/x", 1500*time.Millisecond, nil))
						return
					}
					t.add(p.clients.call(entry, http.MethodPost, "/stream/x", 5*time.Second, promptHeaders(n)))
				})
				time.Sleep(25 * time.Millisecond)
			}
			p.work.Wait()
			return t
		}
		before := send(judgeTime)
		if p.trouble {
			for service, servers := range map[string][]*replica{"engine": engines("v1", 11), "plain": plainServers(11)} {
				for _, r := range servers {
					r.work = work
					if err := p.list.add(r); err != nil {
						return err
					}
				}
				body := fmt.Sprintf(`{"service":%q,"target":"v1","duration_s":24}`, service)
				if err := p.fleet.order(http.MethodPost, "/rollouts", body, time.Now().Add(4*time.Second)); err != nil {
					return err
				}
			}
		}
		p.record.say("the final fault: all processes are killed")
		for _, x := range p.fleet.all {
			x.signal(syscall.SIGKILL)
		}
		for _, x := range p.fleet.all {
			x.awaitEnd()
		}
		time.Sleep(downTime)
		for _, x := range p.fleet.all {
			if err := x.start(); err != nil {
				return err
			}
		}
		send(recoverTime) // goes on through the recovery
		time.Sleep(time.Second)
		after := send(judgeTime)
		for range 2 {
			p.fleet.control(http.MethodGet, "/rollouts/engine", "")
			p.fleet.control(http.MethodGet, "/rollouts/plain", "")
		}
		p.record.say("served before the final fault: %d of %d; later than %v after the machines are back: %d of %d, statuses %v", before.served, before.sent, recoverTime, after.served, after.sent, after.statuses)
		if before.part() >= servedPart && after.part() < servedPart {
			p.record.breaks("RECOVER: %d of %d requests sent later than %v after the machines were back were served, before the final fault %d of %d", after.served, after.sent, recoverTime, before.served, before.sent)
		}
		return nil
	},
}

func plainServers(first int) []*replica {
	var all []*replica
	for n := range plainServer {
		all = append(all, &replica{
			id:      fmt.Sprintf("i-%08x", first+n),
			service: "plain",
			version: "v1",
			zone:    fmt.Sprintf("zone-%d", 1+n%zoneCount),
			slots:   6,
			queue:   6,
		})
	}
	return all
}
