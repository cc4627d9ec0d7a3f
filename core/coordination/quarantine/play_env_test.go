package quarantine

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross"
)

// play is a service in steps of a few milliseconds: upstreams that end and come
// back, entries with a book each, a judge that hears of them late, and callers.
type play struct {
	random    *rand.Rand
	now       time.Time
	upstreams []*place
	entries   []*Book
	held      map[persimmoncross.Digest]Held
	later     []delivery
	heard     map[string][]Case // by entry
	listed    []listing
	judged    time.Time
	noWatch   bool          // requests under suspicion run anywhere
	noJudge   time.Time     // nobody judges until then
	queue     time.Duration // for which requests may wait at their upstream
	hear      time.Duration // from what the first entry tells until the judge knows of it
	// stagger is by how much later than the one before an entry is heard, and learns of
	// an upstream's next life.
	stagger time.Duration
	// jitter is by how much longer than usual what an entry tells may be on its way: it
	// tells ages, which are that much too small on arrival.
	jitter time.Duration
	// fronted tells that something before the upstreams goes on taking connections:
	// an end is known by the next life only.
	fronted bool

	refused map[string]int         // copies, by what is asked
	last    map[string]time.Time   // when one was refused last
	runs    map[string][]time.Time // begun
	ends    map[string][]time.Time // of upstreams
	whole   map[string]int
	cut     map[string]int // callers without an answer
	turned  map[string]int // callers who are to come back soon
}

const (
	playStep  = 5 * time.Millisecond
	hearAfter = 600 * time.Millisecond
	backAfter = 1200 * time.Millisecond
	mostRuns  = 3
)

// place is where one upstream after the other lives.
type place struct {
	life string
	n    int
	back time.Time // it is down until then
	runs []*playRun
	// metBy are the entries that had an answer cut by this life's end: they send it no more.
	metBy map[*Book]bool
}

type playRun struct {
	*Run
	asked *playAsk
	until time.Time
	begun time.Time // when the run begins to work; its head tells
	head  bool
	ends  time.Time // of the upstream; zero: none
}

// playAsk is one caller's request.
type playAsk struct {
	name  string
	entry *Book
	tries int
	kind  kind
}

// kind is what callers ask for.
type kind struct {
	name   string
	every  time.Duration
	each   bool          // every one is another request
	lasts  time.Duration // on average
	kills  time.Duration // after which a run ends its upstream; 0: it does not
	plain  bool          // nothing tells that a run has begun
	from   time.Duration
	copies int // that are sent in all; 0: no bound
}

// delivery is what an entry tells, and when it is heard.
type delivery struct {
	at    time.Time
	entry string
	cases []Case
}

// listing is when an entry learns of a life's successor.
type listing struct {
	at    time.Time
	entry *Book
	life  string
}

func digestFor(name string) persimmoncross.Digest {
	return DigestOf("o", "POST", "h", "/p", sha256.Sum256([]byte(name)))
}

func newPlay(seed uint64) *play {
	p := &play{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		queue:   40 * time.Millisecond,
		hear:    hearAfter,
		held:    map[persimmoncross.Digest]Held{},
		heard:   map[string][]Case{},
		refused: map[string]int{},
		last:    map[string]time.Time{},
		runs:    map[string][]time.Time{},
		ends:    map[string][]time.Time{},
		whole:   map[string]int{},
		cut:     map[string]int{},
		turned:  map[string]int{},
	}
	for i := range 12 {
		p.upstreams = append(p.upstreams, &place{
			life: fmt.Sprint("u", i, ".0"),
		})
	}
	p.setEntries(4)
	return p
}

// setEntries gives the play so many entries.
func (p *play) setEntries(count int) {
	p.entries = nil
	for i := range count {
		p.entries = append(p.entries, &Book{
			VM: fmt.Sprint("e", i),
		})
	}
}

// run plays for a while; trouble is called at each step and may end upstreams.
func (p *play) run(length time.Duration, kinds []kind, trouble func(p *play, at time.Duration)) {
	began := p.now
	next := make([]time.Duration, len(kinds))
	sent := make([]int, len(kinds))
	for at := time.Duration(0); at < length; at += playStep {
		p.now = began.Add(at)
		p.step()
		if trouble != nil {
			trouble(p, at)
		}
		for i, k := range kinds {
			for next[i] = max(next[i], k.from); next[i] <= at && (k.copies == 0 || sent[i] < k.copies); {
				next[i] += k.every/2 + time.Duration(p.random.Int64N(int64(k.every)))
				sent[i]++
				name := k.name
				if k.each {
					name = fmt.Sprint(k.name, " ", sent[i])
				}
				p.send(&playAsk{
					name:  name,
					entry: p.entries[p.random.IntN(len(p.entries))],
					kind:  k,
				})
			}
		}
		p.judge()
	}
}

// step lets runs begin, end and end their upstreams.
func (p *play) step() {
	p.listed = slices.DeleteFunc(p.listed, func(l listing) bool {
		due := !p.now.Before(l.at)
		if due {
			l.entry.Succeeded(l.life, p.now)
		}
		return due
	})
	for _, u := range p.upstreams {
		if !u.back.IsZero() && !p.now.Before(u.back) {
			for i, b := range p.entries {
				p.listed = append(p.listed, listing{
					at:    p.now.Add(time.Duration(i) * p.stagger),
					entry: b,
					life:  u.life,
				})
			}
			u.back = time.Time{}
			u.n++
			u.life = fmt.Sprint(u.life[:len(u.life)-1], u.n)
		}
		for _, r := range slices.Clone(u.runs) {
			if !r.head && !p.now.Before(r.begun) && !r.asked.kind.plain {
				r.head = true
				r.Begun(p.now)
			}
			if !r.ends.IsZero() && !p.now.Before(r.ends) {
				p.ends[r.asked.name] = append(p.ends[r.asked.name], p.now)
				p.end(u)
				break
			}
			if !p.now.Before(r.until) {
				u.runs = slices.DeleteFunc(u.runs, func(x *playRun) bool { return x == r })
				r.Whole(p.now)
				p.whole[r.asked.kind.name]++
			}
		}
	}
}

// end ends an upstream with all that runs there.
func (p *play) end(u *place) {
	if !u.back.IsZero() {
		return
	}
	u.back = p.now.Add(backAfter)
	runs := u.runs
	u.runs = nil
	u.metBy = map[*Book]bool{}
	for _, r := range runs {
		r.Cut(p.now)
		u.metBy[r.asked.entry] = true
	}
	for _, b := range p.entries {
		if p.fronted {
			b.Listens(u.life)
		} else {
			b.Ended(u.life, p.now)
		}
	}
	for _, r := range runs {
		p.send(r.asked)
	}
}

// send makes the next attempt of a request.
func (p *play) send(a *playAsk) {
	d := digestFor(a.name)
	h := p.held[d]
	stage := h.Stage
	trial := stage == persimmoncross.HoldRefuse && a.tries == 0 && h.Trial == a.entry.VM && a.entry.Try(d, h.Try)
	if trial {
		stage = persimmoncross.HoldWatch
	}
	if stage == persimmoncross.HoldRefuse {
		p.refused[a.name]++
		p.last[a.name] = p.now
		a.entry.Asked(d, "s", p.now)
		return
	}
	reserved := map[*place]bool{}
	for d, h := range p.held {
		if (h.Stage == persimmoncross.HoldWatch || h.Trial != "") && !p.noWatch {
			reserved[p.home(d, p.upstreams)] = true
		}
	}
	var up, free []*place
	for _, u := range p.upstreams {
		if u.back.IsZero() || p.fronted && !u.metBy[a.entry] {
			up = append(up, u)
			if !reserved[u] {
				free = append(free, u)
			}
		}
	}
	if len(up) == 0 || a.tries >= mostRuns {
		p.cut[a.kind.name]++
		return
	}
	u := up[p.random.IntN(len(up))]
	switch {
	case stage == persimmoncross.HoldWatch && !p.noWatch:
		a.entry.Asked(d, "s", p.now)
		if u = p.home(d, p.upstreams); !u.back.IsZero() {
			p.turned[a.kind.name]++
			if trial {
				a.entry.Untried(d)
			}
			return
		}
	case 4*len(free) >= 3*len(up):
		u = free[p.random.IntN(len(free))]
	}
	a.tries++
	r := &playRun{
		Run:   a.entry.Begin(d, "s", u.life, p.now),
		asked: a,
		begun: p.now.Add(time.Duration(p.random.Int64N(int64(p.queue)))),
	}
	if trial {
		r.Trial()
	}
	if !u.back.IsZero() {
		r.Cut(p.now) // by what stands before it
		u.metBy[a.entry] = true
		p.send(a)
		return
	}
	r.until = r.begun.Add(a.kind.lasts/2 + time.Duration(p.random.Int64N(int64(a.kind.lasts))))
	if k := a.kind.kills; k > 0 {
		r.ends = r.begun.Add(k/2 + time.Duration(p.random.Int64N(int64(k))))
		r.until = p.now.Add(time.Hour)
		p.runs[a.name] = append(p.runs[a.name], p.now)
	}
	u.runs = append(u.runs, r)
}

func (p *play) home(d persimmoncross.Digest, list []*place) *place {
	var names []string
	for _, u := range list {
		names = append(names, u.life)
	}
	return list[Home(d, names)]
}

// judge takes what has come, and brings holds into force.
func (p *play) judge() {
	if p.now.Sub(p.judged) < 100*time.Millisecond {
		return
	}
	p.judged = p.now
	for i, b := range p.entries {
		cases, _ := b.Cases(0, p.now)
		late := time.Duration(p.random.Int64N(int64(p.jitter) + 1))
		for _, c := range cases {
			for i := range c.Ends {
				c.Ends[i].At = c.Ends[i].At.Add(late)
			}
		}
		p.later = append(p.later, delivery{
			at:    p.now.Add(p.hear + time.Duration(i)*p.stagger + late),
			entry: b.VM,
			cases: cases,
		})
	}
	if p.now.Before(p.noJudge) {
		return
	}
	p.later = slices.DeleteFunc(p.later, func(d delivery) bool {
		due := !p.now.Before(d.at)
		if due {
			p.heard[d.entry] = d.cases
		}
		return due
	})
	for _, c := range Judge(Merge(slices.Collect(maps.Values(p.heard)), 4096), p.held, p.now) {
		if p.held[c.Digest].Hold != c.Hold {
			p.held[c.Digest] = Held{
				Hold:  c.Hold,
				Since: p.now,
			}
		}
		if c.Stage == persimmoncross.HoldFree {
			delete(p.held, c.Digest)
		}
	}
}

// lateRuns returns how often a request ran later than 3 s after the third end.
func (p *play) lateRuns(name string) (n int) {
	if len(p.ends[name]) < 3 {
		return 0
	}
	for _, at := range p.runs[name] {
		if at.Sub(p.ends[name][2]) > 3*time.Second {
			n++
		}
	}
	return n
}

// wronged counts the copies that were refused of requests that end nothing.
func (p *play) wronged() (n int) {
	for name, c := range p.refused {
		if len(p.runs[name]) == 0 {
			n += c
		}
	}
	return n
}
