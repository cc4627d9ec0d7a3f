package relay

import (
	"maps"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
)

// SetCold adds or updates cold instances, by instance ID. The Interval of each update is the
// interval that this entry keeps between requests if it is an owner of the instance, else 0.
// Each instance is warm after its ColdUntil.
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

// AssumeCold treats all upstreams of a data centre as cold for the duration that is given for
// their service, or until SetCold sets other values. This entry sends them no requests meanwhile.
// Upstreams that SetCold has marked as cold are not changed.
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

// applyKnownCold sets the slow start of a target on the list: from SetCold if that has marked the
// instance as cold, else from the list itself. The caller holds mu.
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

// entryWeight returns the number of entries for which this one sends requests to the target.
func (t *Target) entryWeight(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.slowStart.Weight(now), t.rateLimit.Weight())
}
