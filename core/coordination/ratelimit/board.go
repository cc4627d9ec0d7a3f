package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Of what is kept on a board: limits are named again as long as requests are sent, and
// a lifted one is remembered for longer than news of it is under way.
const (
	namedAge   = 10 * time.Minute
	liftedAge  = time.Minute
	sweepEvery = time.Second
	mostFacts  = 8192
)

// Fact is what an upstream has said of its limit.
type Fact struct {
	Life string
	Rate float64 // 0: it names none any more
	At   time.Time
}

// Board holds the latest facts of upstreams that are known here, and which of them are
// news. The zero value is empty.
type Board struct {
	mu    sync.Mutex // guards all below
	facts map[string]posted
	count uint64 // of news
	news  chan struct{}
	swept time.Time
}

// posted is a fact with the count at which it was news.
type posted struct {
	Fact
	count uint64
}

// Take keeps the facts that are later than those on the board, and returns the ones that
// say something else.
func (b *Board) Take(facts []Fact, now time.Time) (news []Fact) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.facts == nil {
		b.facts = map[string]posted{}
	}
	for _, f := range facts {
		old, known := b.facts[f.Life]
		if known && !f.At.After(old.At) {
			continue
		}
		if !known && f.Rate == 0 {
			continue // it is lifted: nothing is to be forgotten here
		}
		if known && (f.Rate == old.Rate || f.Rate > 0 && old.Rate > 0 && near(f.Rate, old.Rate)) {
			old.At = f.At
			b.facts[f.Life] = old
			continue
		}
		b.count++
		b.facts[f.Life] = posted{
			Fact:  f,
			count: b.count,
		}
		news = append(news, f)
	}
	if now.Sub(b.swept) >= sweepEvery || len(b.facts) > mostFacts {
		b.forget(now)
	}
	if len(news) > 0 {
		select {
		case b.signal() <- struct{}{}:
		default:
		}
	}
	return news
}

// News returns a channel that gets a value when there is news since the last one.
func (b *Board) News() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.signal()
}

// signal returns the channel. The caller holds mu.
func (b *Board) signal() chan struct{} {
	if b.news == nil {
		b.news = make(chan struct{}, 1)
	}
	return b.news
}

// forget drops what is old; of too many facts the half that is the oldest news. The caller
// holds mu.
func (b *Board) forget(now time.Time) {
	b.swept = now
	many := len(b.facts) > mostFacts
	for life, p := range b.facts {
		age := now.Sub(p.At)
		if age > namedAge || p.Rate == 0 && age > liftedAge || many && p.count+mostFacts/2 <= b.count {
			delete(b.facts, life)
		}
	}
}

// Since returns the facts that became news after the count, 0 for all: the first ones, most at
// the most, and the count after them; more tells whether there are others.
func (b *Board) Since(count uint64, most int) (facts []Fact, after uint64, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if count == b.count {
		return nil, count, false
	}
	var list []posted
	for _, p := range b.facts {
		if p.count > count {
			list = append(list, p)
		}
	}
	if len(list) <= most {
		after = b.count
	} else {
		slices.SortFunc(list, func(a, b posted) int { return cmp.Compare(a.count, b.count) })
		list = list[:most]
		after = list[most-1].count
		more = true
	}
	for _, p := range list {
		facts = append(facts, p.Fact)
	}
	return facts, after, more
}

// Of returns the limit that a life has named, 0 if none.
func (b *Board) Of(life string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.facts[life].Rate
}
