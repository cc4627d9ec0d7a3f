package admission

import "time"

// Parameters of Concurrency.
const (
	// maxSlowdown is how many times slower than usual events may come before fewer requests run at
	// once. An engine that runs too many at once generates fewer tokens in all, and callers' answers
	// end after their deadlines.
	maxSlowdown = 4
	// minSlotFraction is the part of the upstreams' slots that is always used, since machines may be
	// slow for other reasons.
	minSlotFraction     = 0.25
	concurrencyInterval = 250 * time.Millisecond // time between two changes of the limit
	concurrencyDecrease = 0.9                    // factor of the limit at a decrease
	paceWeight          = 0.02                   // weight of one read of events
	minReads            = 100                    // reads before a pace is known; events that come together make single ones too short
	usualPaceRise       = 1.001                  // factor of the usual pace for each interval above it
)

// Concurrency limits the requests that an entry has at a service's upstreams at once, by how much
// slower than usual the events of its streams come. The zero value has no limit.
type Concurrency struct {
	inFlight  int
	limit     float64 // 0 means no limit
	changedAt time.Time
	models    map[string]*modelPace
	slowdown  float64 // moving average of the pace as a multiple of the usual one
}

// modelPace is the time for one event of a model's streams, in seconds.
type modelPace struct {
	reads  int
	recent float64
	usual  float64
}

// Open reports whether another request may be sent.
func (c *Concurrency) Open() bool { return c.limit == 0 || float64(c.inFlight) < c.limit }

// Begin counts a request that is sent. Each is followed by one call of End.
func (c *Concurrency) Begin() { c.inFlight++ }

// End ends the count of a request.
func (c *Concurrency) End() { c.inFlight-- }

// RecordEvents records events of a stream that came after a pause. slots is this entry's part of the
// upstreams' slots.
func (c *Concurrency) RecordEvents(model string, pause time.Duration, events int, slots float64, now time.Time) {
	if events <= 0 {
		return
	}
	if c.models == nil {
		c.models = map[string]*modelPace{}
	}
	m := c.models[model]
	if m == nil {
		m = &modelPace{}
		c.models[model] = m
	}
	m.reads++
	m.recent += max(paceWeight, 1/float64(m.reads)) * (pause.Seconds()/float64(events) - m.recent)
	if m.reads < minReads {
		return
	}
	if m.usual == 0 || m.recent < m.usual {
		m.usual = m.recent
	}
	if m.usual > 0 {
		c.slowdown = mean(c.slowdown, m.recent/m.usual, paceWeight)
	}
	if now.Sub(c.changedAt) >= concurrencyInterval {
		c.changedAt = now
		c.adjust(slots)
	}
}

// adjust changes the limit by the slowdown.
func (c *Concurrency) adjust(slots float64) {
	for _, m := range c.models {
		m.usual *= usualPaceRise
	}
	switch {
	case c.slowdown > maxSlowdown:
		current := float64(c.inFlight)
		if c.limit > 0 {
			current = min(current, c.limit)
		}
		c.limit = max(current*concurrencyDecrease, minSlotFraction*slots, 1)
	case c.limit > 0 && float64(c.inFlight+1) >= c.limit:
		c.limit++
	}
}

// Limit returns the limit, 0 if there is none.
func (c *Concurrency) Limit() float64 { return c.limit }
