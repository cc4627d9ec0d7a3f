package quarantine

import (
	"time"

	"github.com/rs/zerolog"
)

// maxLoggedChanges are the changes of one judgement that are logged one by one.
const maxLoggedChanges = 8

// LogChanges tells what a judgement changed; err is why it is not in force. Of thousands at
// once the most are only counted.
func LogChanges(log zerolog.Logger, changes []Change, now time.Time, err error) {
	for _, c := range changes[:min(len(changes), maxLoggedChanges)] {
		crashes := zerolog.Arr()
		for _, crash := range c.Crashes {
			crashes.Dict(zerolog.Dict().Str("upstream", crash.InstanceID).Dur("ago", now.Sub(crash.At)).Dur("ran", crash.RunTime))
		}
		log.Info().Err(err).Stringer("digest", c.Digest).Str("service", c.Service).Stringer("stage", c.Stage).Str("why", c.Reason).Str("trial", c.TrialVM).Array("ends", crashes).Msg("requests are held")
	}
	if more := len(changes) - maxLoggedChanges; more > 0 {
		log.Info().Int("more", more).Msg("requests are held")
	}
}
