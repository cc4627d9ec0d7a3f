package quarantine

import (
	"time"

	"github.com/rs/zerolog"
)

// holdLines are the changes of one judgement that are logged one by one.
const holdLines = 8

// Log tells what a judgement changed; err is why it is not in force. Of thousands at
// once the most are only counted.
func Log(log zerolog.Logger, changes []Change, now time.Time, err error) {
	for _, x := range changes[:min(len(changes), holdLines)] {
		ends := zerolog.Arr()
		for _, e := range x.Ends {
			ends.Dict(zerolog.Dict().Str("upstream", e.Life).Dur("ago", now.Sub(e.At)).Dur("ran", e.Ran))
		}
		log.Info().Err(err).Stringer("digest", x.Digest).Str("service", x.Service).Stringer("stage", x.Stage).Str("why", x.Why).Str("trial", x.Trial).Array("ends", ends).Msg("requests are held")
	}
	if more := len(changes) - holdLines; more > 0 {
		log.Info().Int("more", more).Msg("requests are held")
	}
}
