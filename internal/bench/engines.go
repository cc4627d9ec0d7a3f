package bench

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/core/state/settings"
)

// The model of an engine: it serves up to its slots at once, slower the fuller
// its batch is; reads a prompt's uncached part before the first token; queues
// in order of arrival.
const (
	engineBase    = 30 * time.Millisecond // to the first token, idle and cached
	enginePrefill = 4 * time.Millisecond  // for each uncached KiB
	engineToken   = 10 * time.Millisecond
	engineCache   = 512 // KiB of prompts' beginnings that an engine holds
)

// job is one request of the load.
type job struct {
	at     time.Duration // of arrival, since the beginning
	prompt []byte
	tokens int
	entry  int
	owner  string // organisation
}

// pool is a set of engines behind several entries, each with a table of its own.
type pool struct {
	clock   *clock
	start   time.Time
	events  eventHeap
	serial  int
	engines []*modelEngine
	tables  []*routing.Table
	lag     time.Duration
	warm    time.Duration   // jobs that arrive earlier are not counted
	first   []time.Duration // to the first token, of each finished job
	refused int
	// admit, if set, decides whether a job is taken; leave ends it.
	admit   func(p *pool, j job) (leave func(), ok bool)
	byOwner map[string][]time.Duration // times to the first token
}

type modelEngine struct {
	name    string
	slots   int
	slow    float64
	running int
	queue   []*placed
	cache   map[uint64]*list.Element // by the hash of a prompt's beginning
	order   *list.List               // the latest used first
}

// placed is a job at an engine.
type placed struct {
	job
	engine   *modelEngine
	upstream *routing.Upstream
	end      func()
	arrived  time.Time
}

type event struct {
	at     time.Time
	serial int // equal times keep the order of posting
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// benchVersion is what all model engines serve.
var benchVersion = persimmoncross.ParseModelVersion("m@1")

// newPool makes engines and entries; place gives each entry its own placer.
func newPool(engines, entries int, lag time.Duration, place func(entry int) persimmoncross.Picker) *pool {
	p := &pool{
		clock:   newClock(),
		lag:     lag,
		byOwner: map[string][]time.Duration{},
	}
	p.start = p.clock.now
	file := &settings.File{
		Upstreams: map[string]*settings.Upstream{},
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%02d", i)
		file.Upstreams[name] = &settings.Upstream{
			Kind:     "engine",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Versions: []string{benchVersion.String()},
		}
		p.engines = append(p.engines, &modelEngine{
			name:  name,
			slots: 16,
			slow:  1,
			cache: map[uint64]*list.Element{},
			order: list.New(),
		})
	}
	for i := range entries {
		t := &routing.Table{
			Clock:       p.clock,
			Picker:      place(i),
			LiveEntries: func() int { return entries },
		}
		t.Update(&settings.Snapshot{
			File: file,
		})
		p.tables = append(p.tables, t)
	}
	return p
}

func (p *pool) post(after time.Duration, run func()) {
	p.serial++
	heap.Push(&p.events, event{
		at:     p.clock.now.Add(after),
		serial: p.serial,
		run:    run,
	})
}

// run serves the jobs and returns when all have ended.
func (p *pool) run(jobs []job) {
	last := time.Duration(0)
	for _, j := range jobs {
		p.post(j.at, func() { p.arrive(j) })
		last = max(last, j.at)
	}
	for at := time.Duration(0); at < last; at += reportEvery {
		p.post(at, p.report)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.clock.now = e.at
		e.run()
	}
}

// reportEvery is how often the entries ask for load reports.
const reportEvery = 500 * time.Millisecond

// report takes the engines' state now and hands it to the entries after the lag.
func (p *pool) report() {
	for _, t := range p.tables {
		for _, e := range p.engines {
			u, _ := t.Find(e.name)
			r := persimmoncross.UpstreamReport{
				Running:     e.running,
				Waiting:     len(e.queue),
				Slots:       e.slots,
				RequestedAt: p.clock.now,
			}
			p.post(p.lag, func() { u.ApplyReport(r) })
		}
	}
}

func (p *pool) arrive(j job) {
	leave := func() {}
	if p.admit != nil {
		var ok bool
		if leave, ok = p.admit(p, j); !ok {
			p.refused++
			return
		}
	}
	u := p.tables[j.entry].Pick(routing.PickInfo{
		Version: benchVersion,
		Prompt:  j.prompt,
	})
	if u == nil {
		leave()
		p.refused++
		return
	}
	i := slices.IndexFunc(p.engines, func(e *modelEngine) bool { return e.name == u.Name })
	n := &placed{
		job:      j,
		engine:   p.engines[i],
		upstream: u,
		end:      u.BeginAttempt(p.clock.now, benchVersion, j.prompt),
		arrived:  p.clock.now,
	}
	end := n.end
	n.end = func() { end(); leave() }
	n.engine.queue = append(n.engine.queue, n)
	p.serve(n.engine)
}

// serve starts what waits, as far as there are slots.
func (p *pool) serve(e *modelEngine) {
	for e.running < e.slots && len(e.queue) > 0 {
		n := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		crowd := 1 + float64(e.running)/float64(e.slots)
		first := scaled(engineBase+e.prefill(n.prompt), e.slow*crowd)
		rest := scaled(time.Duration(n.tokens)*engineToken, e.slow*crowd)
		p.post(first, func() {
			if n.at >= p.warm {
				p.first = append(p.first, p.clock.now.Sub(n.arrived))
				p.byOwner[n.owner] = append(p.byOwner[n.owner], p.clock.now.Sub(n.arrived))
			}
		})
		p.post(first+rest, func() {
			n.end()
			n.upstream.RecordDuration(p.clock.now.Sub(n.arrived))
			n.upstream.Breaker(benchVersion).RecordOutcome(false)
			e.running--
			p.serve(e)
		})
	}
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// prefill returns the time to read what is not cached of a prompt. The cache
// holds beginnings in steps of 1 KiB; the one unused for longest goes first.
func (e *modelEngine) prefill(prompt []byte) time.Duration {
	const step = 1024
	cached := 0
	hash := xxhash.New()
	for end := step; end <= len(prompt); end += step {
		hash.Write(prompt[end-step : end])
		if e.use(hash.Sum64()) && cached == end-step {
			cached = end
		}
	}
	return scaled(enginePrefill, float64(len(prompt)-cached)/step)
}

// use puts a beginning at the front of the cache, and reports whether it was
// there already.
func (e *modelEngine) use(beginning uint64) bool {
	if place, ok := e.cache[beginning]; ok {
		e.order.MoveToFront(place)
		return true
	}
	e.cache[beginning] = e.order.PushFront(beginning)
	if len(e.cache) > engineCache {
		oldest := e.order.Back()
		e.order.Remove(oldest)
		delete(e.cache, oldest.Value.(uint64))
	}
	return false
}

// load describes a stream of requests.
type load struct {
	rate     float64 // requests a second
	length   time.Duration
	entries  int
	long     float64 // share of long requests
	hot      float64 // share of long ones that begin with a popular text
	popular  int     // number of popular beginnings
	peak     float64 // factor on the rate in the middle third; 0 is 1
	promptKB int     // of long ones
}

// jobs draws the load's requests.
func (l load) jobs(seed uint64) []job {
	r := rand.New(rand.NewPCG(seed, 17))
	var jobs []job
	at := time.Duration(0)
	for n := 0; at < l.length; n++ {
		rate := l.rate
		if l.peak > 0 && at > l.length/3 && at < 2*l.length/3 {
			rate *= l.peak
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		j := job{
			at:     at,
			entry:  r.IntN(l.entries),
			prompt: fmt.Appendf(nil, "short question %d of the load", n),
			tokens: 10 + r.IntN(40),
		}
		if r.Float64() < l.long {
			text := fmt.Sprintf("own text %d ", n)
			if r.Float64() < l.hot {
				// Popular beginnings are not equally popular.
				text = fmt.Sprintf("popular text %d ", int(float64(l.popular)*r.Float64()*r.Float64()))
			}
			j.prompt = make([]byte, 0, l.promptKB*1024)
			for len(j.prompt) < l.promptKB*1024 {
				j.prompt = append(j.prompt, text...)
			}
			j.prompt = fmt.Appendf(j.prompt, "question %d", n)
			j.tokens = 100 + r.IntN(300)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// quantile returns the q-quantile in milliseconds.
func quantile(times []time.Duration, q float64) float64 {
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
