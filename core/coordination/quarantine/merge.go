package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
)

// Limits of the crashes that are kept. maxCrashes of one request, or of one part at one VM, suffice for an evaluation,
// also if other suspects ran at the same upstreams. A part needs more of all VMs where most runs are ended by crashes.
const (
	maxCrashes           = 16
	maxMergedPartCrashes = 32
)

// Merge merges the records of several VMs into one record for each digest, up to limit
// records. An upstream has crashed once, even if several VMs observed it. Records with the
// most crashes are kept, and among those the most recently requested.
func Merge(lists [][]Record, limit int) []Record {
	byDigest := map[persimmoncross.Digest]*Record{}
	for _, list := range lists {
		for _, r := range list {
			merged := byDigest[r.Digest]
			if merged == nil {
				merged = &Record{
					Digest:  r.Digest,
					Part:    r.Part,
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

// Stale reports whether the last request and all crashes of the record are older than the
// retention.
func (r Record) Stale(now time.Time) bool {
	return now.Sub(r.LastRequested) > crashRetention && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return now.Sub(c.At) <= crashRetention })
}

// Shifted returns the record with all times moved by d.
func (r Record) Shifted(d time.Duration) Record {
	r.Crashes = slices.Clone(r.Crashes)
	for i := range r.Crashes {
		r.Crashes[i].At = r.Crashes[i].At.Add(d)
	}
	r.LastRequested = r.LastRequested.Add(d)
	if !r.TriedAt.IsZero() {
		r.TriedAt = r.TriedAt.Add(d)
	}
	if !r.ClearedAt.IsZero() {
		r.ClearedAt = r.ClearedAt.Add(d)
	}
	return r
}

func (r *Record) merge(other Record) {
	r.Completed += other.Completed
	r.RunTime += other.RunTime
	r.InFlight = append(r.InFlight, other.InFlight...)
	if other.LastRequested.After(r.LastRequested) {
		r.LastRequested = other.LastRequested
		r.LastRequestedBy = other.LastRequestedBy
	}
	if other.TriedAt.After(r.TriedAt) {
		r.TriedAt = other.TriedAt
	}
	if other.ClearedAt.After(r.ClearedAt) {
		r.ClearedAt = other.ClearedAt
	}
	limit := maxCrashes
	if r.Part {
		limit = maxMergedPartCrashes
	}
	for _, c := range other.Crashes {
		r.addCrash(c, limit)
	}
}

// addCrash adds a crash, or merges it with the known crash of the same instance. The newest
// crashes up to the limit are kept.
func (r *Record) addCrash(c Crash, limit int) {
	for i, old := range r.Crashes {
		if old.InstanceID == c.InstanceID {
			r.Crashes[i] = old.merge(c)
			if r.Part && !old.Unstarted && !c.Unstarted {
				r.RunTime += max(old.RunTime, c.RunTime) - r.Crashes[i].RunTime
			}
			return
		}
	}
	r.Crashes = append(r.Crashes, c)
	if len(r.Crashes) > limit {
		oldest := 0
		for i, x := range r.Crashes {
			if x.At.Before(r.Crashes[oldest].At) {
				oldest = i
			}
		}
		r.Crashes = slices.Delete(r.Crashes, oldest, oldest+1)
	}
}

// merge returns the crash as observed by two VMs, or by two copies of the request. A run
// that observed it much later reached only the proxy in front of the upstream.
func (c Crash) merge(other Crash) Crash {
	if other.At.Before(c.At) {
		c, other = other, c
	}
	if other.At.Sub(c.At) > maxDetectionDelay {
		return c
	}
	chance := min(c.CrashChance+other.CrashChance, max(c.CrashRate, other.CrashRate)) // of one of them to be so short
	if c.Unstarted && !other.Unstarted || c.Unstarted == other.Unstarted && other.RunTime < c.RunTime {
		other.At = c.At
		c = other // the copy that started last
	}
	c.CrashChance = chance
	return c
}

// RendezvousIndex returns the index of the upstream that runs an isolated request, by
// rendezvous hashing: all VMs choose the same upstream for one request, and different
// upstreams for most others. It returns -1 if there are no upstreams.
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
