package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
)

// mostEnds is how many ends of one request are kept: enough for a judgement, also
// with others beside it.
const mostEnds = 16

// Merge adds up what several VMs saw: one case for each digest, at most so many. An
// upstream has ended once, however many saw it. Those with most ends stay, of them the
// latest.
func Merge(lists [][]Case, most int) []Case {
	by := map[persimmoncross.Digest]*Case{}
	for _, list := range lists {
		for _, c := range list {
			into := by[c.Digest]
			if into == nil {
				into = &Case{
					Digest:  c.Digest,
					Service: c.Service,
				}
				by[c.Digest] = into
			}
			into.add(c)
		}
	}
	all := make([]Case, 0, len(by))
	for _, c := range by {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(len(b.Ends)-len(a.Ends), b.Asked.Compare(a.Asked), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return all[:min(len(all), most)]
}

// Stale reports whether nothing of the case counts any more.
func (c Case) Stale(now time.Time) bool {
	return now.Sub(c.Asked) > endAge && !slices.ContainsFunc(c.Ends, func(e End) bool { return now.Sub(e.At) <= endAge })
}

func (c *Case) add(o Case) {
	c.Whole += o.Whole
	c.Ran += o.Ran
	if o.Asked.After(c.Asked) {
		c.Asked = o.Asked
		c.Asker = o.Asker
	}
	if o.Cleared.After(c.Cleared) {
		c.Cleared = o.Cleared
	}
	for _, e := range o.Ends {
		c.end(e)
	}
}

// end takes an end, unless it is known; the newest are kept.
func (c *Case) end(e End) {
	for i, old := range c.Ends {
		if old.Life == e.Life {
			c.Ends[i] = old.with(e)
			return
		}
	}
	c.Ends = append(c.Ends, e)
	if len(c.Ends) > mostEnds {
		oldest := 0
		for i, x := range c.Ends {
			if x.At.Before(c.Ends[oldest].At) {
				oldest = i
			}
		}
		c.Ends = slices.Delete(c.Ends, oldest, oldest+1)
	}
}

// with returns the end as two VMs, or two copies, saw it. Who saw it much later met only
// what stands before the upstream.
func (e End) with(o End) End {
	if o.At.Before(e.At) {
		e, o = o, e
	}
	if o.At.Sub(e.At) <= transit {
		e.Ran = min(e.Ran, o.Ran) // of several copies there, the last to begin
	}
	return e
}

// Home returns which of the upstreams runs a request that is watched: all VMs take
// the same for one request, and different ones for most others. It returns -1 if
// there is none.
func Home(d persimmoncross.Digest, names []string) int {
	best, most := -1, uint64(0)
	for i, name := range names {
		h := xxhash.Sum64String(string(d[:]) + name)
		if best < 0 || h > most {
			best, most = i, h
		}
	}
	return best
}
