package relay

import (
	"maps"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
)

// Chill takes lives that have become cold, with the pause that this entry keeps where it
// is an owner, else 0. Each is warm when its time is over.
func (p *Pool) Chill(colds map[string]slowstart.Cold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	next := maps.Clone(colds)
	for life, c := range p.colds {
		if _, again := next[life]; !again && c.Until.After(now) {
			next[life] = c
		}
	}
	p.colds = next
	for life, c := range colds {
		if t := p.byLife[life]; t != nil {
			t.chill(c)
		}
	}
}

// Expect takes all upstreams of a data centre for cold, by service for so long, until
// another word comes.
func (p *Pool) Expect(dataCentre string, services map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for life, t := range p.byLife {
		if d := services[t.Service]; d > 0 && t.DataCentre == dataCentre && !p.colds[life].Until.After(now) {
			t.chill(slowstart.Cold{
				Until: now.Add(d),
			})
		}
	}
}

// chillOne takes what is known of a life that is on the list: the controllers' word, or
// the list's own. The caller holds mu.
func (p *Pool) chillOne(t *Target, u persimmoncross.Upstream) {
	now := p.Clock.Now()
	if c, told := p.colds[u.Life()]; told && c.Until.After(now) {
		t.chill(c)
		return
	}
	if u.Cold > 0 {
		t.chill(slowstart.Cold{
			Until: now.Add(u.Cold),
		})
	}
}

func (t *Target) chill(c slowstart.Cold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start.Cold(c)
}

// weight returns for how many entries this one sends to the target.
func (t *Target) weight(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.start.Weight(now), t.limit.Weight())
}
