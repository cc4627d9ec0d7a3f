package quarantine

import (
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
)

// CrashedRuns are the runs at an instance to which its crash is attributed.
type CrashedRuns struct {
	Digests []persimmoncross.Digest // of their requests
	Started int                     // how many are known to have started
}

func (c *CrashedRuns) add(r *Run) {
	c.Digests = append(c.Digests, r.digest)
	if !r.startedAt.IsZero() {
		c.Started++
	}
}

// Log adds the runs to a log line.
func (c CrashedRuns) Log(e *zerolog.Event) *zerolog.Event {
	return e.Strs("digests", LoggedDigests(c.Digests)).Int("requests", len(c.Digests)).Int("begun", c.Started)
}

// maxLoggedDigests limits the digests in one log line. Only one of the requests that ran at
// an upstream is the cause, and the log line of an evaluation names each crash.
const maxLoggedDigests = 8

// LoggedDigests returns the digests that a log line names.
func LoggedDigests(all []persimmoncross.Digest) []string {
	var digests []string
	for _, d := range all[:min(len(all), maxLoggedDigests)] {
		digests = append(digests, d.String())
	}
	return digests
}

// maxLoggedChanges limits the changes of one evaluation that are logged one by one.
const maxLoggedChanges = 8

// LogChanges logs the changes of an evaluation; err is the reason why they were not applied,
// nil if they were. There can be thousands of changes, so only the first maxLoggedChanges are
// logged one by one, and only the number of the others is logged.
func LogChanges(log zerolog.Logger, changes []Change, now time.Time, err error) {
	for _, c := range changes[:min(len(changes), maxLoggedChanges)] {
		crashes := zerolog.Arr()
		for _, crash := range c.Crashes {
			crashes.Dict(zerolog.Dict().Str("upstream", crash.InstanceID).Dur("ago", now.Sub(crash.At)).Dur("ran", crash.RunTime))
		}
		log.Info().Err(err).Stringer("digest", c.Digest).Bool("part", c.Part).Str("service", c.Service).Stringer("stage", c.Stage).Str("why", c.Reason).Str("trial", c.TrialVM).Int("completed", c.Completed).Dur("survived", c.RunTime).Array("ends", crashes).Msg("quarantine of a request changed")
	}
	if more := len(changes) - maxLoggedChanges; more > 0 {
		log.Info().Int("more", more).Msg("quarantines of more requests changed")
	}
}
