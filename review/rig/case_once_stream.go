package main

import (
	"fmt"
	"net/http"
	"time"
)

var allModels = []string{"m-small", "m-middle", "m-large"}

const engineServers = 4

func engines(version string, first int) []*replica {
	var all []*replica
	for n := range engineServers {
		all = append(all, &replica{
			id:      fmt.Sprintf("i-%s-%d", version, first+n),
			service: "engine",
			version: version,
			zone:    fmt.Sprintf("zone-%d", 1+n%zoneCount),
			slots:   64,
			queue:   64,
			models:  allModels,
		})
	}
	return all
}

func promptHeaders(n int) map[string]string {
	return map[string]string{
		name("model"):  "*",
		name("tokens"): "820,60",
		name("parts"):  fmt.Sprintf("%08x:198,%08x:622", 0x5c1e0000+n%144, 0x10000+n),
	}
}

// onceStream: streams on a route that may not be resumed, so that each may run at most once. The
// smallest model doubts every fifth of its answers.
var onceStream = scenario{
	entries:  3,
	replicas: func(*play) []*replica { return engines("v1", 1) },
	run: func(p *play) error {
		ran := &runs{}
		for _, r := range p.list.all {
			r.work = func(x *exchange) bool {
				ran.add(x.replica, x.id)
				model := x.request.Header.Get(name("model"))
				confidence := "90"
				if p.trouble && model == allModels[0] && x.id[len(x.id)-1]%5 == 0 {
					confidence = "10"
				}
				x.replica.record.say("%s: model %s, confidence %s", x.id, model, confidence)
				time.Sleep(20 * time.Millisecond)
				return x.stream(map[string]string{name("confidence"): confidence}, 20, 20*time.Millisecond)
			}
		}
		for n := range 200 {
			p.work.Go(func() {
				p.clients.call(p.fleet.entries()[n%len(p.fleet.entries())], http.MethodPost, "/once/x", 20*time.Second, promptHeaders(n))
			})
			time.Sleep(50 * time.Millisecond)
		}
		p.work.Wait()
		ran.checkTwice(p.record)
		return nil
	},
}
