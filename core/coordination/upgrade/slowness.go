package upgrade

import (
	"fmt"
	"math"
	"time"
)

// A stream is slow if its pace is over slowPaceFactor of the pace that the old version has for its model while its
// upstreams do little else: of its quick streams. The pace of most streams does not depend on the load, but under an
// overload it does, and a trial's upstreams have none.
const (
	slowPaceFactor = 1.5
	quickStreams   = 0.1 // the quantile of the old version's paces that is the reference
	minOldPaces    = 8   // of a model, for a reference
)

// Hypotheses on the streams of the new version at one upstream. A good version's are slow as often as the old
// version's, unless the upstream is slow by itself. A slow version slows a fraction of those that would not be slow on
// the old one, at all upstreams.
const (
	slowUpstreamProbability = 0.2 // that an upstream is slow by itself
	slowUpstreamRate        = 0.9 // fraction of slow streams there
	// maxSlownessProbability limits the probability with which a good version has streams that speak so much
	// for a slow one. It holds for all decisions of an upgrade together, because likelihood ratios are
	// compared.
	maxSlownessProbability = 0.005
)

// slowFractions are the fractions of a slow version's streams that it slows, of which either withdraws it.
var slowFractions = []float64{0.5, 0.9}

// paceStats counts the streams of the new version that may be compared with the old one.
type paceStats struct {
	byUpstream   map[string]streamCount
	total        streamCount // of all upstreams
	expectedSlow float64     // sum of the rates of slow streams of the old version, one for each stream
	old          streamCount
}

type streamCount struct{ streams, slow uint64 }

func (c *streamCount) add(p Paces, limit time.Duration) {
	c.streams += p.Streams()
	c.slow += p.slowerThan(limit)
}

// rate returns the rate of slow streams. A slow stream and two streams are added, so that it is neither 0 nor 1.
func (c streamCount) rate() float64 { return float64(c.slow+1) / float64(c.streams+2) }

// logLikelihood returns the logarithm of the likelihood of the streams, each of which is slow at the rate.
func (c streamCount) logLikelihood(rate float64) float64 {
	return float64(c.slow)*math.Log(rate) + float64(c.streams-c.slow)*math.Log1p(-rate)
}

// expectedRate returns the rate of slow streams that is expected of a good version.
func (s *paceStats) expectedRate() float64 {
	if s.total.streams > 0 {
		return s.expectedSlow / float64(s.total.streams)
	}
	return s.old.rate()
}

// slowRate returns the rate of slow streams of a version that slows the fraction of those that would not be slow.
func (s *paceStats) slowRate(fraction float64) float64 {
	expected := s.expectedRate()
	return expected + (1-expected)*fraction
}

// logGoodRatio returns the logarithm of the ratio of the likelihoods of a good version and of one that slows the
// fraction of its streams.
func (s *paceStats) logGoodRatio(slowFraction float64) float64 {
	slowRate := s.slowRate(slowFraction)
	sum := 0.0
	for _, c := range s.byUpstream {
		sum += s.logGoodLikelihood(c) - c.logLikelihood(slowRate)
	}
	return sum
}

// logGoodLikelihood returns the logarithm of the likelihood of a good version's streams at one upstream.
func (s *paceStats) logGoodLikelihood(c streamCount) float64 {
	sound := math.Log(1-slowUpstreamProbability) + c.logLikelihood(s.expectedRate())
	slow := math.Log(slowUpstreamProbability) + c.logLikelihood(slowUpstreamRate)
	larger := max(sound, slow)
	return larger + math.Log(math.Exp(sound-larger)+math.Exp(slow-larger))
}

// paceStats returns the streams of all routes together, and by route.
func (e Evidence) paceStats() (total *paceStats, byRoute map[string]*paceStats) {
	oldByModel := map[string]Paces{}
	for key, c := range e.Paces {
		all := oldByModel[key.Model]
		all.Add(c.Old)
		oldByModel[key.Model] = all
	}
	total, byRoute = newPaceStats(), map[string]*paceStats{}
	for key, c := range e.Paces {
		reference := oldByModel[key.Model]
		if reference.Streams() < minOldPaces {
			continue
		}
		limit := time.Duration(slowPaceFactor * float64(reference.Quantile(quickStreams)))
		if byRoute[key.Route] == nil {
			byRoute[key.Route] = newPaceStats()
		}
		expected := streamCount{}
		expected.add(reference, limit)
		for _, s := range []*paceStats{total, byRoute[key.Route]} {
			s.old.add(c.Old, limit)
			for upstream, paces := range c.New {
				count := s.byUpstream[upstream]
				count.add(paces, limit)
				s.byUpstream[upstream] = count
				s.total.add(paces, limit)
				s.expectedSlow += expected.rate() * float64(paces.Streams())
			}
		}
	}
	return total, byRoute
}

func newPaceStats() *paceStats {
	return &paceStats{
		byUpstream: map[string]streamCount{},
	}
}

// slownessOfStreamsReason returns why the new version must be withdrawn for its slow streams, "" if it need not
// be.
func (e Evidence) slownessOfStreamsReason() string {
	total, byRoute := e.paceStats()
	if reason := total.slownessReason(); reason != "" {
		return reason
	}
	for route, s := range byRoute {
		if reason := s.slownessReason(); reason != "" {
			return reason + " on route " + route
		}
	}
	return ""
}

func (s *paceStats) slownessReason() string {
	for _, fraction := range slowFractions {
		if s.logGoodRatio(fraction) > math.Log(maxSlownessProbability) {
			continue
		}
		c := s.total
		return fmt.Sprintf("%d of %d streams at %d upstreams are slow, of the old version's %d of %d", c.slow, c.streams, len(s.byUpstream), s.old.slow, s.old.streams)
	}
	return ""
}

// missingPaces returns which streams are missing to meet the requirement, "" if none are. Without streams of the old
// version there is nothing to compare with.
func (e Evidence) missingPaces(r requirement) string {
	total, byRoute := e.paceStats()
	if reason := total.missing(r.slowFraction, r.maxSlowMissProbability); reason != "" {
		return reason
	}
	for route, s := range byRoute {
		if float64(s.old.streams) < minRouteFraction*float64(total.old.streams) {
			continue
		}
		if reason := s.missing(r.routeSlowFraction, r.maxRouteSlowMissProbability); reason != "" {
			return reason + " on route " + route
		}
	}
	return ""
}

// hasOldPaces reports whether there are enough streams of the old version to compare with.
func (e Evidence) hasOldPaces() bool {
	total, _ := e.paceStats()
	return total.old.streams >= minOldPaces
}

// missing returns which streams are missing for the likelihood of a version that slows the fraction of its streams to
// be at most maxMissProbability of a good one's.
func (s *paceStats) missing(slowFraction, maxMissProbability float64) string {
	if s.old.streams < minOldPaces || maxMissProbability == 0 {
		return ""
	}
	lacking := -math.Log(maxMissProbability) - s.logGoodRatio(slowFraction)
	if lacking <= 0 {
		return ""
	}
	c := s.total
	perStream := s.logGoodLikelihood(streamCount{streams: 1}) - math.Log1p(-s.slowRate(slowFraction))
	return fmt.Sprintf("%d streams, of which %d are slow, tell too little; %.0f more that are not would be enough", c.streams, c.slow, math.Ceil(lacking/perStream))
}
