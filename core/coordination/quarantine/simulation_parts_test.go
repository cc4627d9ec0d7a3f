package quarantine

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
)

// variant returns the further part of a request's prompt, "" for none.
func (s *simulation) variant(w workload) string {
	if w.variants == 0 {
		return ""
	}
	return fmt.Sprint(w.name, " variant ", s.random.IntN(w.variants))
}

// parts returns the digests of the parts of the request's prompt.
func (r *simulatedRequest) parts() []persimmoncross.Digest {
	if len(r.workload.parts) == 0 {
		return nil
	}
	ids := append([]string{}, r.workload.parts...)
	if r.variant != "" {
		ids = append(ids, r.variant)
	}
	return PartDigests("s", append(ids, r.name))
}

// refusesPart refuses a request with a refused part.
func (s *simulation) refusesPart(request *simulatedRequest) bool {
	refused := false
	for _, d := range request.parts() {
		if s.quarantines[d].Stage != persimmoncross.QuarantineRefuse {
			continue
		}
		refused = true
		request.entry.MarkPartRequested(d, "s", s.now)
	}
	if refused {
		s.refused[request.workload.name]++
	}
	return refused
}

// partRunsAfterDeadline returns how many runs of the workload were sent later than 3 s after its fifth crash.
func (s *simulation) partRunsAfterDeadline(name string) (n int) {
	if len(s.partCrashes[name]) < 5 {
		return 0
	}
	for _, at := range s.partRuns[name] {
		if at.Sub(s.partCrashes[name][4]) > 3*time.Second {
			n++
		}
	}
	return n
}

// soundPrompts are requests that share their first part and have one of a few or of many others.
func soundPrompts(runTime time.Duration) []workload {
	return []workload{
		{name: "few", interval: 20 * time.Millisecond, distinct: true, runTime: runTime, parts: []string{"system"}, variants: 3},
		{name: "many", interval: 20 * time.Millisecond, distinct: true, runTime: runTime, parts: []string{"system"}, variants: 60},
	}
}

// partSimulations is the number of seeds of each simulation.
const partSimulations = 1

// partSimulation is a simulation of crashing parts beside sound ones.
type partSimulation struct {
	name     string
	interval time.Duration // of the requests with each crashing part
	queue    time.Duration
	headless bool // the upstreams crash before the start is known
	proxied  bool
	crashing []string
}

// TestSimulationOfCrashingParts plays crashing parts whose runs do or don't start before the crash, at short and long queues.
func TestSimulationOfCrashingParts(t *testing.T) {
	const short, long = 40 * time.Millisecond, 2 * time.Second
	const often, seldom = 100 * time.Millisecond, 2500 * time.Millisecond
	one, two := []string{"bad"}, []string{"bad", "bad2"}
	for _, p := range []partSimulation{
		{"often", often, short, false, false, one},
		{"often, before the head", often, short, true, false, one},
		{"often, long queues", often, long, false, false, one},
		{"often, before the head, long queues", often, long, true, false, one},
		{"seldom, before the head", seldom, short, true, false, one},
		{"seldom, before the head, long queues", seldom, long, true, false, one},
		{"two, before the head", often, short, true, false, two},
		{"before the head, behind proxies", often, short, true, true, one},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.check(t)
		})
	}
}

// TestSimulationOfTwoPartsInLongQueues guards against a crashing part that hides behind another one.
func TestSimulationOfTwoPartsInLongQueues(t *testing.T) {
	p := partSimulation{
		interval: 100 * time.Millisecond,
		queue:    2 * time.Second,
		headless: true,
		crashing: []string{"bad", "bad2"},
	}
	p.check(t)
}

func (p partSimulation) check(t *testing.T) {
	t.Helper()
	for seed := range uint64(partSimulations) {
		s := newSimulation(seed)
		s.maxQueueTime = p.queue
		s.behindProxy = p.proxied
		sound := soundPrompts(400 * time.Millisecond)
		workloads := sound
		for _, name := range p.crashing {
			workloads = append(workloads, workload{
				name:          name,
				interval:      p.interval,
				distinct:      true,
				crashAfter:    40 * time.Millisecond,
				runTime:       time.Second,
				noStartSignal: p.headless,
				parts:         []string{"system", name},
				startAfter:    2 * time.Second,
			})
		}
		s.run(24*time.Second, workloads, nil)
		for _, name := range p.crashing {
			if n := s.partRunsAfterDeadline(name); n > 3 {
				t.Errorf("seed %d, %s: %d runs late, want at most 3", seed, name, n)
			}
		}
		sent, served := 0, 0
		for _, w := range sound {
			sent += s.sent[w.name]
			served += s.completed[w.name]
		}
		if 2*served < sent {
			t.Errorf("seed %d: %d of %d sound requests served", seed, served, sent)
		}
	}
}

// soundSimulation is a simulation of sound parts beside crashes that no part causes; none may be refused for them.
type soundSimulation struct {
	name  string
	queue time.Duration
	run   time.Duration
	count int // upstreams that crash at once
	every time.Duration
}

// TestSimulationOfSoundParts guards against sound parts that are refused for crashes of racks and of single upstreams.
func TestSimulationOfSoundParts(t *testing.T) {
	const short, long = 40 * time.Millisecond, 2 * time.Second
	for _, p := range []soundSimulation{
		{"two every 0.5 s", short, 400 * time.Millisecond, 2, 500 * time.Millisecond},
		{"two every 0.5 s, long queues", long, 400 * time.Millisecond, 2, 500 * time.Millisecond},
		{"racks of six, long queues", long, 400 * time.Millisecond, 6, 1500 * time.Millisecond},
		{"all, long runs", short, 2 * time.Second, 12, 2500 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.check(t)
		})
	}
}

// TestSimulationOfSoundPartsInStorms repeats it where crashes end most runs.
func TestSimulationOfSoundPartsInStorms(t *testing.T) {
	const long = 2 * time.Second
	for _, p := range []soundSimulation{
		{"one every 0.2 s", long, 400 * time.Millisecond, 1, 200 * time.Millisecond},
		{"all", long, 400 * time.Millisecond, 12, 2500 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.check(t)
		})
	}
}

func (p soundSimulation) check(t *testing.T) {
	t.Helper()
	for seed := range uint64(partSimulations) {
		s := newSimulation(seed)
		s.maxQueueTime = p.queue
		s.run(20*time.Second, soundPrompts(p.run), func(s *simulation, elapsed time.Duration) {
			if elapsed%p.every > 0 || elapsed == 0 {
				return
			}
			for i := range p.count {
				s.crash(s.upstreams[(int(elapsed/p.every)*p.count+i)%len(s.upstreams)])
			}
		})
		if n := s.refused["few"] + s.refused["many"]; n > 0 {
			t.Errorf("seed %d: %d requests refused", seed, n)
		}
	}
}
