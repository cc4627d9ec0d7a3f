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

// Stranger remembers that another upstream answered at an address. The zero value
// is none.
type Stranger struct {
	avoidUntil time.Time
	pause      time.Duration
}

// Found notes that another answered.
func (s *Stranger) Found(now time.Time) {
	if now.Before(s.avoidUntil) {
		return
	}
	s.pause = min(max(2*s.pause, initialMisdirectionPause), maxMisdirectionPause)
	s.avoidUntil = now.Add(s.pause)
}

// Gone notes that the right one answered.
func (s *Stranger) Gone() { *s = Stranger{} }

// Holds reports whether the address is left alone.
func (s *Stranger) Holds(now time.Time) bool { return now.Before(s.avoidUntil) }
