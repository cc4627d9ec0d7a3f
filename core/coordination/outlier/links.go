package outlier

import "time"

// Of the suspicion against a link to a data centre.
const (
	// heldUp is the wait before several events that come at once from which they are
	// taken to have been held up on the way: an upstream makes them one by one, so that
	// once is enough.
	heldUp = 100 * time.Millisecond
	// lossFirst to lossMost is how long a link is avoided after events were held up
	// there; what is still sent over it tells whether it is lossy longer.
	lossFirst = 4 * time.Second
	lossMost  = 8 * time.Second
	// lossAgain is the time after a suspicion in which the next one lasts twice as
	// long.
	lossAgain = 3 * time.Second
)

// heldToken is what a lossy link is taken to cost for each token of a stream that
// may come over it, as a wait: with 4 packets lost of 100 one stream of 400 tokens in six
// is late, and short ones hardly ever.
const heldToken = 2 * time.Millisecond

// heldPlain is that of an answer that is no stream: a lost packet of a few.
const heldPlain = 100 * time.Millisecond

// Links judges the links from here to data centres by how events come. The zero
// value suspects none.
type Links struct {
	by map[string]*linkDoubt
}

type linkDoubt struct {
	until time.Time
	pause time.Duration
}

// Came notes events of a stream that came together after so long a wait, and
// reports whether they were held up.
func (l *Links) Came(dataCentre string, wait time.Duration, events int, now time.Time) bool {
	if wait < heldUp || events < 2 {
		return false
	}
	if l.by == nil {
		l.by = map[string]*linkDoubt{}
	}
	d := l.by[dataCentre]
	if d == nil {
		d = &linkDoubt{}
		l.by[dataCentre] = d
	}
	switch {
	case now.Before(d.until):
		// The suspicion goes on from here at the same length.
	case now.Sub(d.until) < lossAgain:
		d.pause = min(2*d.pause, lossMost)
	default:
		d.pause = lossFirst
	}
	d.until = now.Add(d.pause)
	return true
}

// Cost returns what the link to a data centre is expected to cost an answer of
// up to so many tokens, as a wait; 0 tokens: no stream.
func (l *Links) Cost(dataCentre string, tokens int, now time.Time) time.Duration {
	d := l.by[dataCentre]
	if d == nil || !now.Before(d.until) {
		return 0
	}
	return max(time.Duration(tokens)*heldToken, heldPlain)
}
