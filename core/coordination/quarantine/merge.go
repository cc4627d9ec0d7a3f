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
func Merge(lists [][]Case, limit int) []Case {
	byDigest := map[persimmoncross.Digest]*Case{}
	for _, list := range lists {
		for _, r := range list {
			merged := byDigest[r.Digest]
			if merged == nil {
				merged = &Case{
					Digest:  r.Digest,
					Service: r.Service,
				}
				byDigest[r.Digest] = merged
			}
			merged.merge(r)
		}
	}
	all := make([]Case, 0, len(byDigest))
	for _, r := range byDigest {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(len(b.Ends)-len(a.Ends), b.Asked.Compare(a.Asked), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return all[:min(len(all), limit)]
}

// Stale reports whether nothing of the case counts any more.
func (r Case) Stale(now time.Time) bool {
	return now.Sub(r.Asked) > crashRetention && !slices.ContainsFunc(r.Ends, func(c End) bool { return now.Sub(c.At) <= crashRetention })
}

func (r *Case) merge(other Case) {
	r.Whole += other.Whole
	r.Ran += other.Ran
	if other.Asked.After(r.Asked) {
		r.Asked = other.Asked
		r.Asker = other.Asker
	}
	if other.Cleared.After(r.Cleared) {
		r.Cleared = other.Cleared
	}
	for _, c := range other.Ends {
		r.addCrash(c)
	}
}

// addCrash takes an addCrash, unless it is known; the newest are kept.
func (r *Case) addCrash(c End) {
	for i, old := range r.Ends {
		if old.Life == c.Life {
			r.Ends[i] = old.merge(c)
			return
		}
	}
	r.Ends = append(r.Ends, c)
	if len(r.Ends) > maxCrashes {
		oldest := 0
		for i, x := range r.Ends {
			if x.At.Before(r.Ends[oldest].At) {
				oldest = i
			}
		}
		r.Ends = slices.Delete(r.Ends, oldest, oldest+1)
	}
}

// merge returns the end as two VMs, or two copies, saw it. Who saw it much later met only
// what stands before the upstream.
func (c End) merge(other End) End {
	if other.At.Before(c.At) {
		c, other = other, c
	}
	if other.At.Sub(c.At) <= maxDetectionDelay {
		c.Ran = min(c.Ran, other.Ran) // of several copies there, the last to begin
	}
	return c
}

// Home returns which of the upstreams runs a request that is watched: all VMs take
// the same for one request, and different ones for most others. It returns -1 if
// there is none.
func Home(d persimmoncross.Digest, names []string) int {
	best, bestHash := -1, uint64(0)
	for i, name := range names {
		hash := xxhash.Sum64String(string(d[:]) + name)
		if best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	return best
}
