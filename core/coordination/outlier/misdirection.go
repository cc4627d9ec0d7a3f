package outlier

import "time"

// Pauses after another instance answered at the address of an upstream.
const (
	// initialMisdirectionPause is how long the address is avoided before a request tries it
	// again; the pause doubles up to maxMisdirectionPause. A request that reaches the other
	// instance again is not run and is sent elsewhere at once, so one such request per pause
	// is the whole cost. The address must not be avoided permanently, because the upstream
	// may restart there under its name.
	initialMisdirectionPause = time.Second
	maxMisdirectionPause     = 16 * time.Second
)

// Misdirection records whether another instance answered at an upstream's address. In the
// zero value none did.
type Misdirection struct {
	avoidUntil time.Time
	pause      time.Duration
}

// Record records that another instance answered.
func (m *Misdirection) Record(now time.Time) {
	if now.Before(m.avoidUntil) {
		return
	}
	m.pause = min(max(2*m.pause, initialMisdirectionPause), maxMisdirectionPause)
	m.avoidUntil = now.Add(m.pause)
}

// Clear records that the right instance answered.
func (m *Misdirection) Clear() { *m = Misdirection{} }

// IsActive reports whether the address is to be avoided.
func (m *Misdirection) IsActive(now time.Time) bool { return now.Before(m.avoidUntil) }
