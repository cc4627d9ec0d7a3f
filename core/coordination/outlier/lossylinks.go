package outlier

import "time"

// Of the suspicion against a link to a data centre.
const (
	// minStall is the wait before several events that come at once from which they are
	// taken to have been held up on the way: an upstream makes them one by one, so that
	// once is enough.
	minStall = 100 * time.Millisecond
	// initialLossyDuration to lossMost is how long a link is avoided after events were held up
	// there; what is still sent over it tells whether it is lossy longer.
	initialLossyDuration = 4 * time.Second
	maxLossyDuration     = 8 * time.Second
	// recurrenceWindow is the time after a suspicion in which the next one lasts twice as
	// long.
	recurrenceWindow = 3 * time.Second
)

// lossDelayPerToken is what a lossy link is taken to cost for each token of a stream that
// may come over it, as a wait: with 4 packets lost of 100 one stream of 400 tokens in six
// is late, and short ones hardly ever.
const lossDelayPerToken = 2 * time.Millisecond

// minLossDelay is that of an answer that is no stream: a lost packet of a few.
const minLossDelay = 100 * time.Millisecond

// LossyLinks judges the links from here to data centres by how events come. The zero
// value suspects none.
type LossyLinks struct {
	byDataCentre map[string]*lossyLink
}

type lossyLink struct {
	lossyUntil time.Time
	duration   time.Duration
}

// RecordEvents notes events of a stream that came together after so long a wait, and
// reports whether they were held up.
func (l *LossyLinks) RecordEvents(dataCentre string, stall time.Duration, events int, now time.Time) bool {
	if stall < minStall || events < 2 {
		return false
	}
	if l.byDataCentre == nil {
		l.byDataCentre = map[string]*lossyLink{}
	}
	link := l.byDataCentre[dataCentre]
	if link == nil {
		link = &lossyLink{}
		l.byDataCentre[dataCentre] = link
	}
	switch {
	case now.Before(link.lossyUntil):
		// The suspicion goes on from here at the same length.
	case now.Sub(link.lossyUntil) < recurrenceWindow:
		link.duration = min(2*link.duration, maxLossyDuration)
	default:
		link.duration = initialLossyDuration
	}
	link.lossyUntil = now.Add(link.duration)
	return true
}

// ExpectedDelay returns what the link to a data centre is expected to cost an answer of
// up to so many tokens, as a wait; 0 tokens: no stream.
func (l *LossyLinks) ExpectedDelay(dataCentre string, tokens int, now time.Time) time.Duration {
	link := l.byDataCentre[dataCentre]
	if link == nil || !now.Before(link.lossyUntil) {
		return 0
	}
	return max(time.Duration(tokens)*lossDelayPerToken, minLossDelay)
}
