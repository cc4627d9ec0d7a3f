package upgrade

import (
	"fmt"
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// paceAccuracy is the relative error of a pace that is known by its bucket. Buckets stand in messages, so
// that another accuracy needs another field there.
const paceAccuracy = 0.02

var paceMapping = newPaceMapping()

func newPaceMapping() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(paceAccuracy)
	if err != nil {
		panic(err) // only for an accuracy outside of 0 to 1
	}
	return m
}

// minPace is the shortest pace that is told from shorter ones.
const minPace = time.Microsecond

// Paces counts streams by bucket of their pace, the median time between their events.
type Paces map[int32]uint64

// Count counts a stream.
func (p *Paces) Count(pace time.Duration) {
	if *p == nil {
		*p = Paces{}
	}
	(*p)[int32(paceMapping.Index(max(pace, minPace).Seconds()))]++
}

// Add adds the counts of other.
func (p *Paces) Add(other Paces) {
	if *p == nil {
		*p = Paces{}
	}
	for bucket, streams := range other {
		(*p)[bucket] += streams
	}
}

// Streams returns the number of streams.
func (p Paces) Streams() uint64 {
	streams := uint64(0)
	for _, n := range p {
		streams += n
	}
	return streams
}

// slowerThan returns the number of streams whose pace is over the limit.
func (p Paces) slowerThan(limit time.Duration) uint64 {
	slow := uint64(0)
	for bucket, streams := range p {
		if paceMapping.Value(int(bucket)) > limit.Seconds() {
			slow += streams
		}
	}
	return slow
}

// Median returns the median of the paces, 0 without any.
func (p Paces) Median() time.Duration { return p.Quantile(0.5) }

// Quantile returns the pace that the fraction of the streams is under, 0 without any.
func (p Paces) Quantile(fraction float64) time.Duration {
	if len(p) == 0 {
		return 0
	}
	sorted := store.NewSparseStore()
	for bucket, streams := range p {
		sorted.AddWithCount(int(bucket), float64(streams))
	}
	seconds := paceMapping.Value(sorted.KeyAtRank(fraction * sorted.TotalCount()))
	return time.Duration(seconds * float64(time.Second))
}

// PaceKey is a kind of streams whose paces may be compared.
type PaceKey struct {
	Route string
	Model string
}

// PaceReport is what one entry has observed of the streams of one version.
type PaceReport struct {
	PaceKey
	Upstream string // of the new version
	New      bool
	Paces    Paces
	Open     uint64 // streams that run and have no pace yet
}

// PaceCounts are the paces of the streams of one kind.
type PaceCounts struct {
	New     map[string]Paces // by upstream
	NewOpen uint64           // streams that run and have no pace yet
	Old     Paces
	OldOpen uint64
}

// SetPaces replaces what the reporter has told of paces.
func (m *Matcher) SetPaces(reporter string, reports []PaceReport) {
	if m.paces == nil {
		m.paces = map[string][]PaceReport{}
	}
	m.paces[reporter] = reports
}

// mergePaces returns the paces of all reports.
func (m *Matcher) mergePaces() map[PaceKey]PaceCounts {
	merged := map[PaceKey]PaceCounts{}
	for _, reports := range m.paces {
		for _, r := range reports {
			if len(r.Paces) == 0 && r.Open == 0 {
				continue
			}
			counts := merged[r.PaceKey]
			if !r.New {
				counts.Old.Add(r.Paces)
				counts.OldOpen += r.Open
				merged[r.PaceKey] = counts
				continue
			}
			if counts.New == nil {
				counts.New = map[string]Paces{}
			}
			paces := counts.New[r.Upstream]
			paces.Add(r.Paces)
			counts.New[r.Upstream] = paces
			counts.NewOpen += r.Open
			merged[r.PaceKey] = counts
		}
	}
	return merged
}

// allNew returns the paces at all upstreams of the new version.
func (c PaceCounts) allNew() Paces {
	var all Paces
	for _, paces := range c.New {
		all.Add(paces)
	}
	return all
}

// DescribePaces describes the paces of both versions for a log, a line for each kind of streams.
func (e Evidence) DescribePaces() []string {
	var lines []string
	for key, c := range e.Paces {
		all := c.allNew()
		lines = append(lines, fmt.Sprintf("%s %s: %d at %v, %d open; old %d at %v, %d open", key.Route, key.Model, all.Streams(), all.Median().Round(time.Millisecond), c.NewOpen, c.Old.Streams(), c.Old.Median().Round(time.Millisecond), c.OldOpen))
	}
	slices.Sort(lines)
	return lines
}
