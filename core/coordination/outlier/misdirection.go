package outlier

import "time"

// Of an address at which another upstream answers.
const (
	// initialMisdirectionPause is the pause before it is tried again whether the one that is
	// listed there answers; it doubles up to strangerMost. A request that finds the
	// stranger again was not run and goes elsewhere at once: one in the pause is all
	// that it costs. For good it must not be: an upstream may start again under its
	// name where it was.
	initialMisdirectionPause = time.Second
	maxMisdirectionPause     = 16 * time.Second
)

// Misdirection remembers that another upstream answered at an address. The zero value
// is none.
type Misdirection struct {
	avoidUntil time.Time
	pause      time.Duration
}

// Record notes that another answered.
func (m *Misdirection) Record(now time.Time) {
	if now.Before(m.avoidUntil) {
		return
	}
	m.pause = min(max(2*m.pause, initialMisdirectionPause), maxMisdirectionPause)
	m.avoidUntil = now.Add(m.pause)
}

// Clear notes that the right one answered.
func (m *Misdirection) Clear() { *m = Misdirection{} }

// IsActive reports whether the address is left alone.
func (m *Misdirection) IsActive(now time.Time) bool { return now.Before(m.avoidUntil) }
