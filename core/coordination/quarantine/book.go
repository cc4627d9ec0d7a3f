package quarantine

import (
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

// Of one VM's book.
const (
	mostCases = 512  // with an end: 100 KB
	mostWhole = 2048 // digests that came to their end lately, of each half of wholeAge
	wholeAge  = time.Minute
	askedGap  = time.Second // in which a copy more is no news
)

// Book is what one VM sees. The zero value is empty; VM is set before use.
type Book struct {
	VM string

	mu     sync.Mutex // guards all below
	cases  map[persimmoncross.Digest]*entry
	cuts   map[string]*cuts                 // by life
	gone   map[string]time.Time             // lives that have ended
	runs   map[persimmoncross.Digest][]*Run // under way
	tried  map[persimmoncross.Digest]int    // the latest trial that was begun here
	whole  [2]map[persimmoncross.Digest]int // lately and before
	turned time.Time                        // when whole moved on
	news   uint64
}

// entry is a case with the count of news that it changed at.
type entry struct {
	Case
	news uint64
}

// Run is a run of a request at an upstream.
type Run struct {
	book    *Book
	digest  persimmoncross.Digest
	service string
	life    string
	sent    time.Time
	trial   bool
	begun   time.Time // zero: not known
}

// Begin notes that a request is sent to a life of an upstream.
func (b *Book) Begin(d persimmoncross.Digest, service, life string, now time.Time) *Run {
	r := &Run{
		book:    b,
		digest:  d,
		service: service,
		life:    life,
		sent:    now,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = map[persimmoncross.Digest][]*Run{}
	}
	b.runs[d] = append(b.runs[d], r)
	return r
}

// Begun notes that the upstream has begun the run.
func (r *Run) Begun(now time.Time) {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	r.begun = now
	r.book.lives(r.life, r.sent)
}

// Whole notes that the run came to its end.
func (r *Run) Whole(now time.Time) {
	b := r.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leave(r) {
		return
	}
	b.lives(r.life, r.sent)
	if r.trial {
		b.caseOf(r.digest, r.service, now).Cleared = now
	}
	if e := b.cases[r.digest]; e != nil {
		e.Whole++
		b.changed(e)
		return
	}
	b.turn(now)
	if len(b.whole[0]) < mostWhole || b.whole[0][r.digest] > 0 {
		b.whole[0][r.digest]++
	}
}

// Over notes that the run ended, and the upstream lives as far as is known.
func (r *Run) Over(now time.Time) {
	b := r.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leave(r) || r.begun.IsZero() {
		return
	}
	if e := b.cases[r.digest]; e != nil {
		e.Ran += max(now.Sub(r.begun), 0)
		b.changed(e)
	}
}

// leave ends the run, once. The caller holds mu.
func (b *Book) leave(r *Run) bool {
	list := b.runs[r.digest]
	i := slices.Index(list, r)
	if i < 0 {
		return false
	}
	if len(list) == 1 {
		delete(b.runs, r.digest)
	} else {
		b.runs[r.digest] = slices.Delete(list, i, i+1)
	}
	return true
}

// caseOf returns the case of a digest; a new one begins with the whole answers
// that came lately. The caller holds mu.
func (b *Book) caseOf(d persimmoncross.Digest, service string, now time.Time) *entry {
	if e := b.cases[d]; e != nil {
		return e
	}
	if b.cases == nil {
		b.cases = map[persimmoncross.Digest]*entry{}
	}
	if len(b.cases) >= mostCases {
		b.evict()
	}
	b.turn(now)
	e := &entry{
		Case: Case{
			Digest:  d,
			Service: service,
			Whole:   b.whole[0][d] + b.whole[1][d],
			Asked:   now,
			Asker:   b.VM,
		},
	}
	b.cases[d] = e
	return e
}

// evict drops the case with the fewest ends, of these the oldest. The caller holds
// mu.
func (b *Book) evict() {
	var worst *entry
	for _, e := range b.cases {
		if worst == nil || len(e.Ends) < len(worst.Ends) || len(e.Ends) == len(worst.Ends) && e.Asked.Before(worst.Asked) {
			worst = e
		}
	}
	delete(b.cases, worst.Digest)
}

// turn forgets whole answers of long ago. The caller holds mu.
func (b *Book) turn(now time.Time) {
	if b.whole[0] == nil || now.Sub(b.turned) > wholeAge/2 {
		b.whole[1] = b.whole[0]
		if now.Sub(b.turned) > wholeAge {
			b.whole[1] = nil
		}
		b.whole[0] = map[persimmoncross.Digest]int{}
		b.turned = now
	}
}

// Try reports whether a copy of a refused request may run here: the trial with the
// number was not begun yet.
func (b *Book) Try(d persimmoncross.Digest, number int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tried[d] >= number {
		return false
	}
	if b.tried == nil {
		b.tried = map[persimmoncross.Digest]int{}
	}
	if len(b.tried) >= mostHolds {
		clear(b.tried) // of holds that are long over
	}
	b.tried[d] = number
	return true
}

// Untried notes that the trial that was begun last has told nothing.
func (b *Book) Untried(d persimmoncross.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tried[d]--
}

// Trial notes that the run is a trial.
func (r *Run) Trial() {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	r.trial = true
}

// Asked notes that a copy came of a request that is held.
func (b *Book) Asked(d persimmoncross.Digest, service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.caseOf(d, service, now)
	if e.news == 0 || now.Sub(e.Asked) >= askedGap {
		e.Asked, e.Asker = now, b.VM
		b.changed(e)
	}
}

func (b *Book) changed(e *entry) {
	b.news++
	e.news = b.news
}

// Cases returns what changed since a count of news that an earlier call returned,
// 0 for all, and the count now. Runs under way speak for their requests by the time
// for which their upstreams have survived them.
func (b *Book) Cases(since uint64, now time.Time) ([]Case, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Case
	for d, e := range b.cases {
		if e.Stale(now) {
			delete(b.cases, d)
			continue
		}
		under := time.Duration(0)
		for _, r := range b.runs[d] {
			if !r.begun.IsZero() {
				under += max(now.Sub(r.begun), 0)
			}
		}
		if e.news <= since && under == 0 {
			continue
		}
		c := e.Case
		c.Ends = slices.Clone(e.Ends)
		c.Ran += under
		list = append(list, c)
	}
	return list, b.news
}
