package node

import "time"

// openStreamsLogInterval is the interval between two log lines about the open streams of an upgrade.
const openStreamsLogInterval = time.Second

// logOpenStreams logs, for each version and route of a service that is being upgraded, the streams that have no pace yet.
// A version with many old ones among them is slow, or gets no answers.
func (e *Entry) logOpenStreams() {
	now := e.Clock.Now()
	e.mu.Lock()
	due := now.Sub(e.openStreamsLoggedAt) >= openStreamsLogInterval
	if due {
		e.openStreamsLoggedAt = now
	}
	e.mu.Unlock()
	if !due {
		return
	}
	for k, open := range e.canaryStats.Open(now) {
		e.Log.Info().Str("service", k.Service).Str("version", k.Version).Str("route", k.Route).Int("open", open.Streams).Int("events", open.Events).Dur("oldest", open.Oldest).Msg("open streams")
	}
}
