package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	homeServers = 5
	awayServers = 2
	lostTime    = 5 * time.Second
	lostPause   = 6 * time.Second // between two losses
	quietTime   = 4 * time.Second
	lostTimes   = 4
)

// awayIDs are the requests that machines of region-2 sent to servers.
type awayIDs struct {
	mu sync.Mutex // guards at
	at map[string]string
}

// home: a tenant's requests may be served in region-1 only. Its clients are there and connect to an
// entry there. This entry loses its path to one of the five servers of region-1.
var home = scenario{
	entries: 6,
	replicas: func(p *play) []*replica {
		var all []*replica
		for n := range homeServers + awayServers {
			zone := fmt.Sprintf("zone-%d", 1+n%2)
			if n >= homeServers {
				zone = fmt.Sprintf("zone-%d", 3+n%2)
			}
			all = append(all, &replica{
				id:      fmt.Sprintf("i-%08x", n+1),
				service: "plain",
				version: "v1",
				zone:    zone,
				slots:   6,
				queue:   6,
				host:    gatewayHost(0, n).String(),
			})
		}
		return all
	},
	prepare: func(p *play) error {
		p.fleet.regions = map[string]string{"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-2", "zone-4": "region-2"}
		p.away = &awayIDs{
			at: map[string]string{},
		}
		for e, entry := range p.fleet.entries() {
			entry.via = map[string]string{}
			for n, r := range p.list.all {
				g := &gateway{
					entry: entry,
					to:    r,
					at:    netip.AddrPortFrom(gatewayHost(1+e, n), r.address().Port()),
					carried: func(g *gateway, id string) {
						p.record.say("machine of %s (%s) sends %s to %s (%s)", g.entry.name, p.fleet.regions[g.entry.zone], id, g.to.id, p.fleet.regions[g.to.zone])
						if p.fleet.regions[g.entry.zone] != "region-1" {
							p.away.mu.Lock()
							p.away.at[id] = g.entry.name
							p.away.mu.Unlock()
						}
					},
				}
				if err := g.open(); err != nil {
					return err
				}
				entry.via[r.address().Addr().String()] = g.at.Addr().String()
				p.gateways = append(p.gateways, g)
			}
		}
		return nil
	},
	run: func(p *play) error {
		for _, r := range p.list.all {
			r.work = func(x *exchange) bool {
				x.replica.record.say("%s runs %s of %s", x.replica.id, x.id, x.request.Header.Get(name("tenant")))
				time.Sleep(plainWork)
				return x.answer(http.StatusOK, nil, "the answer to "+x.id)
			}
		}
		p.clients.key = "key-b-1"
		entry := p.fleet.entries()[0] // in zone-2
		sent := map[string]bool{}
		send := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); {
				p.work.Go(func() {
					x := p.clients.call(entry, http.MethodPost, "/unsafe/x", time.Second, nil)
					p.away.mu.Lock()
					defer p.away.mu.Unlock()
					sent[x.id] = true
				})
				time.Sleep(15 * time.Millisecond)
			}
		}
		send(2 * time.Second)
		lost := p.gateways[0]
		for range lostTimes {
			if p.trouble {
				p.record.say("%s loses its path to %s", lost.entry.name, lost.to.id)
				lost.lose()
			}
			send(lostTime)
			if p.trouble {
				p.record.say("the path is back")
				if err := lost.open(); err != nil {
					return err
				}
			}
			time.Sleep(quietTime) // longer than connections are kept idle
			send(lostPause - quietTime)
		}
		p.work.Wait()
		p.away.mu.Lock()
		defer p.away.mu.Unlock()
		for id, at := range p.away.at {
			if sent[id] {
				p.record.breaks("HOME: %s may be in region-1 only, and its body was sent to %s in region-2", id, at)
			}
		}
		p.record.say("%d requests were sent", len(sent))
		return nil
	},
}

// gatewayHost returns a loopback address: of a server, or of an entry's gateway to it.
func gatewayHost(group, n int) netip.Addr {
	id := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(30 + id>>8&0x1f), byte(id), byte(100 + 10*group + n)})
}
