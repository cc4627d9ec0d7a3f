package quarantine

import (
	"slices"
	"time"

	"persimmoncross"
)

// Of answers that broke off.
const (
	// cutAge is how long a cut waits for a look at its upstream's address.
	cutAge = time.Second
	// lifeAge is how long a cut waits for the list to tell of a later life in the
	// upstream's place: the process starts again, the list lags, and is read and passed
	// on. An upstream that ends behind a proxy is told of by nothing else, as the proxy
	// goes on taking connections.
	lifeAge = 6 * time.Second
	// mostCuts bounds the cuts that wait at one life.
	mostCuts = 128
	// goneAge is how long an upstream that has ended is remembered: connections to
	// it break at different moments.
	goneAge = 10 * time.Second
)

// cut is an answer that broke off with its connection, or never began.
type cut struct {
	run      *Run
	at       time.Time
	listened bool // the upstream's address took a connection after it
}

// cuts are those at one life that nothing has explained yet, in the order of their
// times: nothing was heard of the life since the first of them.
type cuts struct {
	list   []cut
	looked bool      // a look at the address is under way
	until  time.Time // by which that look is over
}

// Cut notes that the answer broke off or the connection ended before it. It
// returns true if it is to be found out whether the upstream has ended (see
// [Book.Ended] and [Book.Listens]): nobody does so yet.
func (r *Run) Cut(now time.Time) bool {
	b := r.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leave(r) {
		return false
	}
	c := cut{
		run: r,
		at:  now,
	}
	if at, ok := b.gone[r.life]; ok && now.Sub(at) <= goneAge {
		b.blame(c, at)
		return false
	}
	if b.cuts == nil {
		b.cuts = map[string]*cuts{}
	}
	b.forgetCuts(now)
	of := b.cuts[r.life]
	if of == nil {
		of = &cuts{}
		b.cuts[r.life] = of
	}
	if len(of.list) < mostCuts {
		of.list = append(of.list, c)
	}
	if of.looked && now.Before(of.until) {
		return false
	}
	of.looked = true
	of.until = now.Add(cutAge)
	return true
}

// forgetCuts drops what waits for too long. The caller holds mu.
func (b *Book) forgetCuts(now time.Time) {
	for life, of := range b.cuts {
		of.list = slices.DeleteFunc(of.list, func(c cut) bool { return now.Sub(c.at) > lifeAge })
		if len(of.list) == 0 {
			delete(b.cuts, life)
		}
	}
	for life, at := range b.gone {
		if now.Sub(at) > goneAge {
			delete(b.gone, life)
		}
	}
}

// Ended notes that nothing listens at the upstream's address any more: its process
// has ended. It returns the digests of the requests that ran there.
func (b *Book) Ended(life string, now time.Time) (blamed []persimmoncross.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended(life, now, func(c cut, _ time.Time) bool { return now.Sub(c.at) <= cutAge && !c.listened })
}

// Listens notes that a connection to the upstream's address works, or is not
// answered: it lives, or something before it takes connections in its place.
func (b *Book) Listens(life string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.cuts[life]
	if of == nil {
		return
	}
	of.looked = false
	for i := range of.list {
		of.list[i].listened = true
	}
}

// Succeeded notes that the list has a later life in the place of this one. If answers
// broke off there and nothing was heard of it since, it ended with the first of them.
// What was sent later than that met only what stands before the upstream. It returns
// the digests of the requests that ran there.
func (b *Book) Succeeded(life string, now time.Time) (blamed []persimmoncross.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended(life, now, func(c cut, first time.Time) bool {
		return now.Sub(c.at) <= lifeAge && !c.run.sent.After(first)
	})
}

// ended blames the cuts at the life that count, given when the first of them came.
// The caller holds mu.
func (b *Book) ended(life string, now time.Time, counts func(c cut, first time.Time) bool) (blamed []persimmoncross.Digest) {
	b.forgetCuts(now)
	of := b.cuts[life]
	if of == nil {
		return nil
	}
	delete(b.cuts, life)
	first := of.list[0].at
	for _, c := range of.list {
		if !counts(c, first) {
			continue
		}
		if b.gone == nil {
			b.gone = map[string]time.Time{}
		}
		if _, ok := b.gone[life]; !ok {
			b.gone[life] = c.at
		}
		b.blame(c, b.gone[life])
		blamed = append(blamed, c.run.digest)
	}
	return blamed
}

// lives notes that the life has begun a run that was sent then: what broke off there
// before did not end it. The caller holds mu.
func (b *Book) lives(life string, sent time.Time) {
	of := b.cuts[life]
	if of == nil {
		return
	}
	of.list = slices.DeleteFunc(of.list, func(c cut) bool { return c.at.Before(sent) })
	if len(of.list) == 0 {
		delete(b.cuts, life)
	}
}

// blame notes an end under a run, unless it was sent later than that. The caller holds
// mu.
func (b *Book) blame(c cut, at time.Time) {
	if c.run.sent.After(at) {
		return
	}
	began := c.run.begun
	if began.IsZero() {
		began = c.run.sent
	}
	e := b.caseOf(c.run.digest, c.run.service, c.at)
	e.Asked, e.Asker = c.at, b.VM
	e.end(End{
		Life: c.run.life,
		At:   at,
		Ran:  max(at.Sub(began), 0),
	})
	b.changed(e)
}
