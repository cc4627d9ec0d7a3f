package relay

import (
	"maps"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
)

// SetCold takes lives that have become cold, with the pause that this entry keeps where it
// is an owner, else 0. Each is warm when its time is over.
func (p *Pool) SetCold(updates map[string]slowstart.ColdUpstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	next := maps.Clone(updates)
	for instanceID, c := range p.coldInstances {
		if _, updated := next[instanceID]; !updated && c.ColdUntil.After(now) {
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

// AssumeCold takes all upstreams of a data centre for cold, by service for so long, until
// another word comes.
func (p *Pool) AssumeCold(dataCentre string, durationByService map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for instanceID, t := range p.byInstanceID {
		if duration := durationByService[t.Service]; duration > 0 && t.DataCentre == dataCentre && !p.coldInstances[instanceID].ColdUntil.After(now) {
			t.setCold(slowstart.ColdUpstream{
				ColdUntil: now.Add(duration),
			})
		}
	}
}

// applyKnownCold takes what is known of a life that is on the list: the controllers' word, or
// the list's own. The caller holds mu.
func (p *Pool) applyKnownCold(t *Target, u persimmoncross.Upstream) {
	now := p.Clock.Now()
	if c, known := p.coldInstances[u.InstanceID()]; known && c.ColdUntil.After(now) {
		t.setCold(c)
		return
	}
	if u.SlowStartRemaining > 0 {
		t.setCold(slowstart.ColdUpstream{
			ColdUntil: now.Add(u.SlowStartRemaining),
		})
	}
}

func (t *Target) setCold(c slowstart.ColdUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowStart.SetCold(c)
}

// entryWeight returns for how many entries this one sends to the target.
func (t *Target) entryWeight(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.slowStart.Weight(now), t.rateLimit.Weight())
}
