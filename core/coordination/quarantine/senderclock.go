package quarantine

import "time"

// Limits of the estimates of a [SenderClock].
const (
	// clockWindow is how long a message's delay is remembered, in two halves. It covers
	// several messages of a VM that has nothing to report, and the two VMs' clocks drift
	// apart by less than maxAgeSkew meanwhile.
	clockWindow = 30 * time.Second
	// maxMessageDelay is the largest delay of one message. Above it, the sender's clock is taken
	// to have stood still, because its VM was suspended.
	maxMessageDelay = time.Second
	minCorrection   = time.Millisecond // smallest improvement of an estimate
)

// A SenderClock estimates when the messages of one sender were sent. Whether two crashes that two
// VMs observed are one event depends on some milliseconds (see [Evaluate]), and busy VMs and
// links delay single messages by more than that. Each message has a reading of its sender's clock.
// The smallest difference between the time of receipt and the reading is that of the message
// with the smallest delay, and applies to all messages.
//
// The zero value has no estimate. A SenderClock is owned by one goroutine.
type SenderClock struct {
	epoch     time.Time        // the receiver's time to which offsets are relative
	offset    time.Duration    // estimated difference between the two clocks
	smallest  [2]time.Duration // smallest differences in the newer and the older half of clockWindow
	rotatedAt time.Time
	raisedAt  time.Time // when offset was last set anew or raised
}

// Correction says that the estimates for the messages received since a time were too late by Lateness;
// 0: they were not.
type Correction struct {
	Lateness time.Duration
	Since    time.Time
}

// SentAt returns when the message with the reading was sent, in the receiver's time, and a correction
// of the estimates for earlier messages.
func (c *SenderClock) SentAt(reading time.Duration, receivedAt time.Time) (sentAt time.Time, correction Correction) {
	if c.epoch.IsZero() {
		c.epoch = receivedAt.Add(-reading)
		c.rotatedAt = receivedAt
		c.raisedAt = receivedAt
	}
	difference := receivedAt.Sub(c.epoch) - reading
	if difference-c.offset > maxMessageDelay {
		c.smallest = [2]time.Duration{difference, difference}
		c.rotatedAt = receivedAt
		c.raise(difference, receivedAt)
	}
	if receivedAt.Sub(c.rotatedAt) > clockWindow/2 {
		c.smallest[1] = c.smallest[0]
		c.smallest[0] = difference
		c.rotatedAt = receivedAt
		if smallest := min(c.smallest[0], c.smallest[1]); smallest > c.offset {
			c.raise(smallest, receivedAt)
		}
	}
	c.smallest[0] = min(c.smallest[0], difference)
	if improvement := c.offset - difference; improvement >= minCorrection {
		c.offset = difference
		correction = Correction{
			Lateness: improvement,
			Since:    c.raisedAt,
		}
	}
	return c.epoch.Add(reading + c.offset), correction
}

// raise sets a larger offset. Later corrections don't concern messages received before it.
func (c *SenderClock) raise(offset time.Duration, now time.Time) {
	c.offset = offset
	c.raisedAt = now
}
