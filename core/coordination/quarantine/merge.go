package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
)

// maxCrashes is how many ends of one request are kept: enough for a judgement, also
// with others beside it.
const maxCrashes = 16

// Merge adds up what several VMs saw: one case for each digest, at most so many. An
// upstream has ended once, however many saw it. Those with most ends stay, of them the
// latest.
func Merge(lists [][]Record, limit int) []Record {
	byDigest := map[persimmoncross.Digest]*Record{}
	for _, list := range lists {
		for _, r := range list {
			merged := byDigest[r.Digest]
			if merged == nil {
				merged = &Record{
					Digest:  r.Digest,
					Service: r.Service,
				}
				byDigest[r.Digest] = merged
			}
			merged.merge(r)
		}
	}
	all := make([]Record, 0, len(byDigest))
	for _, r := range byDigest {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(len(b.Crashes)-len(a.Crashes), b.LastRequested.Compare(a.LastRequested), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return all[:min(len(all), limit)]
}

// Stale reports whether nothing of the case counts any more.
func (r Record) Stale(now time.Time) bool {
	return now.Sub(r.LastRequested) > crashRetention && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return now.Sub(c.At) <= crashRetention })
}

func (r *Record) merge(other Record) {
	r.Completed += other.Completed
	r.RunTime += other.RunTime
	if other.LastRequested.After(r.LastRequested) {
		r.LastRequested = other.LastRequested
		r.LastRequestedBy = other.LastRequestedBy
	}
	if other.ClearedAt.After(r.ClearedAt) {
		r.ClearedAt = other.ClearedAt
	}
	for _, c := range other.Crashes {
		r.addCrash(c)
	}
}

// addCrash takes an addCrash, unless it is known; the newest are kept.
func (r *Record) addCrash(c Crash) {
	for i, old := range r.Crashes {
		if old.InstanceID == c.InstanceID {
			r.Crashes[i] = old.merge(c)
			return
		}
	}
	r.Crashes = append(r.Crashes, c)
	if len(r.Crashes) > maxCrashes {
		oldest := 0
		for i, x := range r.Crashes {
			if x.At.Before(r.Crashes[oldest].At) {
				oldest = i
			}
		}
		r.Crashes = slices.Delete(r.Crashes, oldest, oldest+1)
	}
}

// merge returns the end as two VMs, or two copies, saw it. Who saw it much later met only
// what stands before the upstream.
func (c Crash) merge(other Crash) Crash {
	if other.At.Before(c.At) {
		c, other = other, c
	}
	if other.At.Sub(c.At) <= maxDetectionDelay {
		c.RunTime = min(c.RunTime, other.RunTime) // of several copies there, the last to begin
	}
	return c
}

// RendezvousIndex returns which of the upstreams runs a request that is watched: all VMs take
// the same for one request, and different ones for most others. It returns -1 if
// there is none.
func RendezvousIndex(d persimmoncross.Digest, names []string) int {
	best, bestHash := -1, uint64(0)
	for i, name := range names {
		hash := xxhash.Sum64String(string(d[:]) + name)
		if best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	return best
}
