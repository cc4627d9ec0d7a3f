package relay

import (
	"maps"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
)

// Chill takes lives that have become cold, with the pause that this entry keeps where it
// is an owner, else 0. Each is warm when its time is over.
func (p *Pool) Chill(updates map[string]slowstart.Cold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	next := maps.Clone(updates)
	for instanceID, c := range p.coldInstances {
		if _, updated := next[instanceID]; !updated && c.Until.After(now) {
			next[instanceID] = c
		}
	}
	p.coldInstances = next
	for instanceID, c := range updates {
		if t := p.byInstanceID[instanceID]; t != nil {
			t.setCold(c)
		}
	}
}

// Expect takes all upstreams of a data centre for cold, by service for so long, until
// another word comes.
func (p *Pool) Expect(dataCentre string, durationByService map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for instanceID, t := range p.byInstanceID {
		if duration := durationByService[t.Service]; duration > 0 && t.DataCentre == dataCentre && !p.coldInstances[instanceID].Until.After(now) {
			t.setCold(slowstart.Cold{
				Until: now.Add(duration),
			})
		}
	}
}

// applyKnownCold takes what is known of a life that is on the list: the controllers' word, or
// the list's own. The caller holds mu.
func (p *Pool) applyKnownCold(t *Target, u persimmoncross.Upstream) {
	now := p.Clock.Now()
	if c, known := p.coldInstances[u.Life()]; known && c.Until.After(now) {
		t.setCold(c)
		return
	}
	if u.Cold > 0 {
		t.setCold(slowstart.Cold{
			Until: now.Add(u.Cold),
		})
	}
}

func (t *Target) setCold(c slowstart.Cold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowStart.Cold(c)
}

// entryWeight returns for how many entries this one sends to the target.
func (t *Target) entryWeight(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.slowStart.Weight(now), t.rateLimit.Weight())
}
