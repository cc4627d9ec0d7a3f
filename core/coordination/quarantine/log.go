package quarantine

import (
	"time"

	"github.com/rs/zerolog"
)

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
		log.Info().Err(err).Stringer("digest", c.Digest).Bool("part", c.Part).Str("service", c.Service).Stringer("stage", c.Stage).Str("why", c.Reason).Str("trial", c.TrialVM).Array("ends", crashes).Msg("quarantine of a request changed")
	}
	if more := len(changes) - maxLoggedChanges; more > 0 {
		log.Info().Int("more", more).Msg("quarantines of more requests changed")
	}
}
