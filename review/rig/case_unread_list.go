package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	plainServer = 4
	plainWork   = 30 * time.Millisecond
	unreadWork  = 100 * time.Millisecond
	drainTime   = 3 * time.Second
	lingerTime  = 1500 * time.Millisecond // a server serves for drainTime and a little longer
	foreignTime = 8 * time.Second         // for which the other writer's entry stands, from the draining on
)

// unreadList: an entry of another writer stands in the list, with bytes that can't be read. Then a
// server is draining.
var unreadList = scenario{
	entries:  3,
	replicas: func(*play) []*replica { return plainServers(1) },
	run: func(p *play) error {
		var mu sync.Mutex
		var drainedAt time.Time
		late, lost := 0, 0
		leaving := p.list.all[0]
		for _, r := range p.list.all {
			r.work = func(x *exchange) bool {
				x.replica.record.say("%s runs %s", x.replica.id, x.id)
				mu.Lock()
				if x.replica == leaving && !drainedAt.IsZero() && time.Since(drainedAt) > drainTime {
					late++
				}
				mu.Unlock()
				time.Sleep(unreadWork)
				return x.answer(http.StatusOK, nil, "the answer to "+x.id)
			}
		}
		send := func(d time.Duration) {
			for n, until := 0, time.Now().Add(d); time.Now().Before(until); n++ {
				p.work.Go(func() {
					x := p.clients.call(p.fleet.entries()[n%len(p.fleet.entries())], http.MethodPost, "/unsafe/x", time.Second, nil)
					if x.status == http.StatusBadGateway {
						mu.Lock()
						defer mu.Unlock()
						lost++
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
		}
		send(2 * time.Second)
		if p.trouble {
			p.record.say("an entry of another writer is in the list")
			p.list.mu.Lock()
			p.list.foreign = []string{foreignEntry}
			p.list.mu.Unlock()
		}
		send(2 * time.Second)
		p.record.say("%s is draining", leaving.id)
		leaving.setState("draining")
		mu.Lock()
		drainedAt = time.Now()
		mu.Unlock()
		p.work.Go(func() {
			time.Sleep(drainTime + lingerTime)
			p.record.say("%s ends", leaving.id)
			p.list.remove(leaving)
		})
		send(foreignTime)
		if p.trouble {
			p.record.say("the entry of another writer is gone")
			p.list.mu.Lock()
			p.list.foreign = nil
			p.list.mu.Unlock()
		}
		send(2 * time.Second)
		p.work.Wait()
		mu.Lock()
		defer mu.Unlock()
		p.record.say("%d requests that may run once only were answered with 502", lost)
		if late > 0 {
			p.record.breaks("DRAIN: %s got %d requests later than %v after the list had shown it as draining", leaving.id, late, drainTime)
		}
		return nil
	},
}

// foreignEntry is cut off in the middle of a string.
const foreignEntry = `{"id":"i-9c41d07b","service":"pla`
