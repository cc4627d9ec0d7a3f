package outlier

import "time"

// Times of the detection of lossy links to data centres.
const (
	// minStall is the minimum wait before several events that arrive together, for the link
	// to be considered lossy. An upstream generates events one by one, so events that arrive
	// together were delayed on the link, and one observation is enough.
	minStall = 100 * time.Millisecond
	// initialLossyDuration and maxLossyDuration bound how long a link is considered lossy
	// after delayed events. The traffic that is still sent over the link shows whether it
	// stays lossy for longer.
	initialLossyDuration = 4 * time.Second
	maxLossyDuration     = 8 * time.Second
	// recurrenceWindow is the time after the end of a lossy period. A period that begins within
	// this time lasts twice as long as the previous one, up to maxLossyDuration.
	recurrenceWindow = 3 * time.Second
)

// lossDelayPerToken is the expected delay on a lossy link for each token of a stream. With 4
// of 100 packets lost, one stream of 400 tokens in six is late, and short streams hardly ever
// are.
const lossDelayPerToken = 2 * time.Millisecond

// minLossDelay is the minimum expected delay on a lossy link. It is also the expected delay
// of a response that is not a stream, because one of its few packets may be lost.
const minLossDelay = 100 * time.Millisecond

// LossyLinks detects lossy links to data centres by the times at which events arrive. In the
// zero value no link is lossy.
type LossyLinks struct {
	byDataCentre map[string]*lossyLink
}

type lossyLink struct {
	lossyUntil time.Time
	duration   time.Duration
}

// RecordEvents records events of a stream that arrived together after a stall, and reports
// whether they were delayed on the link, which is then considered lossy.
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
		// The lossy period starts again with the same duration.
	case now.Sub(link.lossyUntil) < recurrenceWindow:
		link.duration = min(2*link.duration, maxLossyDuration)
	default:
		link.duration = initialLossyDuration
	}
	link.lossyUntil = now.Add(link.duration)
	return true
}

// ExpectedDelay returns the expected delay that packet loss on the link to a data centre
// causes for a response of up to the given number of tokens, which is 0 if the response is
// not a stream.
func (l *LossyLinks) ExpectedDelay(dataCentre string, tokens int, now time.Time) time.Duration {
	link := l.byDataCentre[dataCentre]
	if link == nil || !now.Before(link.lossyUntil) {
		return 0
	}
	return max(time.Duration(tokens)*lossDelayPerToken, minLossDelay)
}
