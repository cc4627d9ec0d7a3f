package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// streamSimulation plays an upgrade of a service whose answers are streams, from the entries' observations to
// the leader's decisions. Old upstreams read other prompts meanwhile, those of a trial hardly any.
type streamSimulation struct {
	slowdown      float64 // factor of the new version's gaps
	slowStreams   float64 // fraction of its streams that have it
	slowUpstreams int     // of both versions' 10 upstreams each, slow by themselves
	duration      time.Duration

	random  *rand.Rand
	stats   CanaryStats
	upgrade register.Upgrade
	open    []*simulatedStream
}

type simulatedStream struct {
	observed  *observedStream
	key       CanaryKey // of its results
	began     time.Time
	last      time.Time // when its last event was received
	next      time.Time
	gap       time.Duration
	remaining int
	events    int
	disturbed float64 // probability of a pause before an event
}

const (
	simulatedStep       = 10 * time.Millisecond
	simulatedRate       = 36 // requests per second
	simulatedTrialShare = 0.09
	simulatedUpstreams  = 10
)

// begin begins a stream.
func (p *streamSimulation) begin(now time.Time) {
	key := CanaryKey{
		Service:      "s",
		Version:      "v1",
		Route:        []string{"long", "short"}[p.random.IntN(2)],
		UpgradeOrder: p.upgrade.Order,
	}
	upstream := p.random.IntN(simulatedUpstreams)
	model := p.random.IntN(2)
	s := &simulatedStream{
		key:       key,
		began:     now,
		last:      now,
		gap:       time.Duration(float64(20*time.Millisecond) * (1 + 0.3*float64(model)) * (1 + 0.2*p.random.Float64())),
		remaining: 1 + int(math.Exp(3.6+0.6*p.random.NormFloat64())),
		disturbed: 0.12,
	}
	if key.Route == "short" {
		s.remaining = 1 + p.random.IntN(12)
	}
	isNew := p.upgrade.Stage == register.Shift || p.upgrade.Stage == register.Trial && p.random.Float64() < simulatedTrialShare
	if isNew {
		s.key.Version = p.upgrade.Target
		s.key.Upstream = fmt.Sprint("u", upstream)
		if p.random.Float64() < p.slowStreams {
			s.gap = time.Duration(float64(s.gap) * p.slowdown)
		}
		if p.upgrade.Stage == register.Trial {
			s.disturbed = 0.01
		}
	}
	if upstream < p.slowUpstreams {
		s.gap *= 4
	}
	s.next = now.Add(s.gap)
	p.stats.recordResult(&p.upgrade, s.key, false)
	paceKey := s.key
	paceKey.Model = fmt.Sprint("m", model)
	s.observed = p.stats.beginStream(&p.upgrade, paceKey, now)
	p.open = append(p.open, s)
}

// advance receives the stream's events up to now, and reports whether it goes on.
func (p *streamSimulation) advance(s *simulatedStream, now time.Time) bool {
	for !s.next.After(now) {
		s.observed.recordEvents(s.next.Sub(s.last), 1)
		p.stats.observe(s.observed, s.next, false)
		s.last = s.next
		s.events++
		s.remaining--
		if s.remaining == 0 {
			p.stats.observe(s.observed, s.next, true)
			if s.events >= minEventsForDuration {
				p.stats.recordDuration(&p.upgrade, s.key, s.next.Sub(s.began)/time.Duration(s.events-1))
			}
			return false
		}
		s.next = s.next.Add(s.gap)
		if p.random.Float64() < s.disturbed {
			s.next = s.next.Add(time.Duration(60+p.random.IntN(340)) * time.Millisecond)
		}
	}
	return true
}

// report gives the matcher what has been counted so far.
func (p *streamSimulation) report(m *upgrade.Matcher, now time.Time) {
	p.stats.ObserveOpen(now)
	m.Begin(now)
	newByRoute, oldByRoute := map[string]map[string]upgrade.AnswerStats{}, map[string]upgrade.AnswerStats{}
	var paces []upgrade.PaceReport
	for k, c := range p.stats.Counts() {
		paces = append(paces, upgrade.PaceReport{
			PaceKey: upgrade.PaceKey{
				Route: k.Route,
				Model: k.Model,
			},
			Upstream: k.Upstream,
			New:      k.Version == p.upgrade.Target,
			Paces:    c.Paces,
			Open:     c.OpenStreams,
		})
		if k.Model != "" {
			continue
		}
		stats := upgrade.AnswerStats{
			Answers:             c.Executions,
			Failed:              c.Failed,
			TimedAnswers:        c.DurationCount,
			TotalSeconds:        c.DurationSum,
			TotalSquaredSeconds: c.DurationSquareSum,
		}
		if newByRoute[k.Route] == nil {
			newByRoute[k.Route] = map[string]upgrade.AnswerStats{}
		}
		if k.Version == p.upgrade.Target {
			newByRoute[k.Route][k.Upstream] = stats
		} else {
			oldByRoute[k.Route] = stats
		}
	}
	m.SetPaces("a", paces)
	for route := range newByRoute {
		m.Add("a", route, newByRoute[route], oldByRoute[route])
	}
}

// play returns how the upgrade ends, when and why.
func (p *streamSimulation) play(seed uint64) (stage register.Stage, elapsed time.Duration, reason string) {
	p.random = rand.New(rand.NewPCG(seed, 52))
	p.upgrade = register.Upgrade{
		Service:  "s",
		Target:   "v2",
		Order:    1,
		Stage:    register.Prepare,
		Duration: p.duration,
	}
	limit := upgrade.ExposureLimit{
		Share:         0.15,
		ExtraRequests: 30,
	}
	m := &upgrade.Matcher{}
	start := time.Unix(1000, 0)
	// Two reports reach the leader in a second, each a while after what it tells.
	reportsDue := 300 * time.Millisecond
	evidence := upgrade.Evidence{}
	for ; elapsed <= p.duration; elapsed += simulatedStep {
		now := start.Add(elapsed)
		if p.random.Float64() < simulatedRate*simulatedStep.Seconds() {
			p.begin(now)
		}
		rest := p.open[:0]
		for _, s := range p.open {
			if p.advance(s, now) {
				rest = append(rest, s)
			}
		}
		p.open = rest
		if elapsed%(500*time.Millisecond) == reportsDue {
			p.report(m, now)
		}
		if elapsed%(200*time.Millisecond) != 0 {
			continue
		}
		if elapsed%(500*time.Millisecond) < 300*time.Millisecond {
			evidence = m.Evidence()
		}
		if p.upgrade.Stage, reason = upgrade.NextStage(p.upgrade, elapsed, limit, evidence, true); p.upgrade.Stage.Ended() {
			break
		}
	}
	return p.upgrade.Stage, elapsed, reason
}

// The streams of a slow version that have ended by the decision are its quick ones.
func TestSlowVersionIsNotCompletedOnItsQuickStreams(t *testing.T) {
	for _, tt := range []struct {
		name          string
		slowdown      float64
		slowStreams   float64
		slowUpstreams int
	}{
		{"all streams 4.5 times as slow", 4.5, 1, 0},
		{"all streams 2.5 times as slow", 2.5, 1, 0},
		{"half of the streams 8 times as slow", 8, 0.5, 0},
		{"all streams, beside slow upstreams", 4.5, 1, 2},
	} {
		for _, duration := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second} {
			const plays = 10
			completed, last := 0, ""
			for seed := range uint64(plays) {
				p := streamSimulation{
					slowdown:      tt.slowdown,
					slowStreams:   tt.slowStreams,
					slowUpstreams: tt.slowUpstreams,
					duration:      duration,
				}
				if stage, elapsed, reason := p.play(seed); stage == register.Completed {
					completed++
					last = fmt.Sprintf("seed %d after %v: %s", seed, elapsed, reason)
				}
			}
			if completed > 0 {
				t.Errorf("%s, %v: %d of %d completed, the last with %s", tt.name, duration, completed, plays, last)
			}
		}
	}
}

// What makes slow streams beside the version, the load of a shift or an upstream, must not withdraw a good version.
func TestGoodVersionIsCompletedByItsStreams(t *testing.T) {
	for _, tt := range []struct {
		name          string
		slowUpstreams int
		minCompleted  int // of 10
	}{
		{"no slow upstreams", 0, 10},
		{"a slow upstream", 1, 9},
		{"two slow upstreams of ten", 2, 8},
	} {
		for _, duration := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second} {
			completed, last := 0, ""
			for seed := range uint64(10) {
				p := streamSimulation{
					slowdown:      1,
					slowUpstreams: tt.slowUpstreams,
					duration:      duration,
				}
				stage, elapsed, reason := p.play(seed)
				if stage == register.Completed {
					completed++
				} else {
					last = fmt.Sprintf("seed %d after %v: %s", seed, elapsed, reason)
				}
			}
			if completed < tt.minCompleted {
				t.Errorf("%s, %v: %d of 10 completed, want %d or more; the last that was not with %s", tt.name, duration, completed, tt.minCompleted, last)
			}
		}
	}
}
