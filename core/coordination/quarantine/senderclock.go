package quarantine

import "time"

// Limits of the estimates of a [SenderClock].
const (
	// clockWindow is how long a message's delay is remembered, in two halves. It covers
	// several messages of a VM that has nothing to report, and the two VMs' clocks drift
	// apart by less than maxAgeSkew meanwhile.
	clockWindow = 30 * time.Second
	// maxMessageDelay is the largest delay of one message. Above it, the sender's clock has
	// stood still, because its VM was suspended, or was set.
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
}

// SentAt returns when the message with the reading was sent, in the receiver's time, and by how
// much the estimates for earlier messages of the sender were too late.
func (c *SenderClock) SentAt(reading time.Duration, receivedAt time.Time) (sentAt time.Time, correction time.Duration) {
	if c.epoch.IsZero() {
		c.epoch = receivedAt.Add(-reading)
		c.rotatedAt = receivedAt
	}
	difference := receivedAt.Sub(c.epoch) - reading
	if difference-c.offset > maxMessageDelay || c.offset-difference > maxMessageDelay {
		c.offset, c.smallest, c.rotatedAt = difference, [2]time.Duration{difference, difference}, receivedAt
	}
	if receivedAt.Sub(c.rotatedAt) > clockWindow/2 {
		c.smallest[1] = c.smallest[0]
		c.smallest[0] = difference
		c.rotatedAt = receivedAt
		c.offset = max(c.offset, min(c.smallest[0], c.smallest[1]))
	}
	c.smallest[0] = min(c.smallest[0], difference)
	if improvement := c.offset - difference; improvement >= minCorrection {
		c.offset = difference
		correction = improvement
	}
	return c.epoch.Add(reading + c.offset), correction
}
