package quarantine

import (
	"math"
	"slices"
)

// setRivals sets the highest adjusted suspicion of another request, or of another part, at each instance. Parts that
// one request held are no rivals: they can't be told apart, and refusing one of them may not suffice.
func setRivals(scores []*score) {
	type site struct {
		instanceID string
		part       bool
	}
	atSite := map[site][]rival{}
	for _, s := range scores {
		for _, c := range s.Crashes {
			key := site{
				instanceID: c.InstanceID,
				part:       s.Part,
			}
			atSite[key] = addRival(atSite[key], rival{
				score: s,
				crash: c,
			})
		}
	}
	for _, s := range scores {
		s.rivalSuspicions = make(map[string]float64, len(s.Crashes))
		for _, c := range s.Crashes {
			for _, x := range atSite[site{instanceID: c.InstanceID, part: s.Part}] {
				if x.score != s && (!s.Part || x.crash.Request != c.Request) {
					s.rivalSuspicions[c.InstanceID] = max(s.rivalSuspicions[c.InstanceID], x.suspicionBeside(s, c))
				}
			}
		}
	}
}

// rival is a suspect of a crash.
type rival struct {
	score *score
	crash Crash // as recorded for the suspect
}

// suspicionBeside returns the suspicion with which the rival is compared with another suspect of the crash. Of two
// parts that both crashed upstreams as often and never survived, the one whose run had started is the likelier cause.
func (x rival) suspicionBeside(s *score, c Crash) float64 {
	switch {
	case c.Unstarted == x.crash.Unstarted || !x.score.equals(s):
		return x.score.adjustedSuspicion
	case c.Unstarted:
		return math.Inf(1)
	}
	return 0
}

// equals reports whether both were at as many crashes, and neither survived a run.
func (s *score) equals(other *score) bool {
	return math.Abs(s.suspicion-other.suspicion) <= 1 && s.survivals < 1 && other.survivals < 1
}

// Limits of the suspects of one crash that are compared. Parts of one request are no rivals to each other, so that
// more of them are kept.
const (
	maxRivals     = 4
	maxPartRivals = 16
)

// addRival adds a suspect to those with the highest adjusted suspicions.
func addRival(rivals []rival, x rival) []rival {
	rivals = append(rivals, x)
	limit := maxRivals
	if x.score.Part {
		limit = maxPartRivals
	}
	if len(rivals) <= limit {
		return rivals
	}
	least := 0
	for i, r := range rivals {
		if r.score.adjustedSuspicion < rivals[least].score.adjustedSuspicion {
			least = i
		}
	}
	return slices.Delete(rivals, least, least+1)
}
