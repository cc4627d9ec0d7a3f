package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmoncross"
)

// Of the judgement.
const (
	// refuseAt ends prove a request: the operators' bound on retries counts what is
	// sent after the third. watchAt is one before it.
	refuseAt = 3
	watchAt  = 2
	manyAt   = 6 // ends at which others ran too, of a request that never came to its end
	apartAt  = 2 // ends at which no other suspect ran, where there are some at which one did
	// together is the time in which ends are one event: a rack that is lost ends all
	// its upstreams within some milliseconds, and what is sent often runs on each.
	together = 150 * time.Millisecond
	// skew is by how much the ages of what two VMs tell may differ: they are rounded,
	// and wait on their way.
	skew = 5 * time.Millisecond
	// transit is by how much later than another VM one may learn of the same end:
	// what was sent later than that did not run there.
	transit = 30 * time.Millisecond
	// settle is for how long a request is watched before it is refused: VMs tell of the
	// same ends at different moments, and what the first told looks as if the request
	// had been alone there. It is longer than the pause between what one VM tells.
	settle = 300 * time.Millisecond
	// settleWhole is the same for one that has come to its end somewhere: what speaks
	// for it makes it likely that others ended those upstreams, of whom the last VM tells
	// after its own pause and that of the controller it follows.
	settleWhole = 600 * time.Millisecond
	// dominates is how many times as much must speak against a request as against
	// each other one that ran at the same upstream, for the end to count as its own.
	dominates = 1.5
	// hasteMost bounds what the time until an end makes of it: it decides between two
	// that were there as often.
	hasteMost = 1.4
	// survives is how many times as long as it took to end an upstream a request
	// must run at others, for that to count as a whole answer: a cause that strikes
	// by chance would be survived for so long in 5 of 100 runs.
	survives   = 3
	leastRun   = 10 * time.Millisecond // an end comes no sooner after its cause, as far as can be told
	endAge     = 10 * time.Minute      // for which an end counts
	quietTime  = endAge                // without a copy, after which a refusal is over
	watchQuiet = 4 * time.Second       // without a copy, after which it is not watched: others need the place
	askedLast  = 5 * time.Second       // a copy came lately: a trial finds another one
	// trialWait is how long a VM that is to run a trial may wait for a copy, and run
	// it: meanwhile an upstream is kept for it.
	trialWait = 10 * time.Second
	mostHolds = 1024 // 40 KB at each VM
	mostWatch = 64   // each takes an upstream for itself where there are enough
)

// trialAfter are the pauses before the trials of a refused request: one copy runs
// by itself, and if it comes to its end, the request was refused wrongly, or the
// upstreams have been mended. Where upstreams end faster than they start, nothing
// tells a request that is sent often from those that end them. The operators' bound
// allows three runs later than some seconds after the third end: up to two come before
// a contested request is found out, and with one trial in the first ten minutes the
// bound is kept for as long.
var trialAfter = []time.Duration{30 * time.Second, 10 * time.Minute, 30 * time.Minute}

// End is the end of an upstream's process under a request.
type End struct {
	Life string // of the upstream
	At   time.Time
	Ran  time.Duration // for which the request had run; where that is not known, since it was sent
}

// Case is what some VMs saw of one request.
type Case struct {
	Digest  persimmoncross.Digest
	Service string
	Ends    []End
	Whole   int           // runs that came to their end
	Ran     time.Duration // of runs under way, and of those that neither came to their end nor met the upstream's
	Asked   time.Time     // when a copy came last
	Asker   string        // the VM that it came to
	Cleared time.Time     // when it passed a trial: ends before it count no more
}

// Held is a hold with what its keeper knows of it.
type Held struct {
	persimmoncross.Hold
	Since time.Time // when the keeper learned of it as it is
}

// Change is a new hold, or the end of one: then its stage is Free.
type Change struct {
	persimmoncross.Hold
	Why  string
	Ends []End // that count against it
}

// tally is what speaks for and against one request.
type tally struct {
	Case
	against float64
	weight  float64            // against, by which it is compared with others
	rivals  map[string]float64 // by life: the most that speaks against another one there
}

// Judge returns how the holds change by what all VMs saw: a case for each digest
// (see [Merge]).
func Judge(cases []Case, held map[persimmoncross.Digest]Held, now time.Time) []Change {
	tallies := weigh(cases, held, now)
	var changes []Change
	watched := 0
	for _, h := range held {
		if h.Stage == persimmoncross.HoldWatch {
			watched++
		}
	}
	for _, t := range tallies {
		h, ok := held[t.Digest]
		own := t.own()
		proved := len(own) >= refuseAt && t.proved(own)
		settled := ok && now.Sub(h.Since) >= t.settle()
		watchable := !ok && watched < mostWatch // else it is refused as soon as it is proved
		switch {
		case h.Stage == persimmoncross.HoldRefuse:
			if c, ok := t.trial(h, now); ok {
				changes = append(changes, c)
			}
		case proved && (settled || !ok && !watchable && len(held)+len(changes) < mostHolds):
			changes = append(changes, t.change(persimmoncross.HoldRefuse, "upstreams end wherever it runs", own))
		case watchable && (proved || t.against >= watchAt && now.Sub(t.Asked) < watchQuiet):
			watched++
			changes = append(changes, t.change(persimmoncross.HoldWatch, "upstreams ended where it ran", t.Ends))
		}
	}
	return append(changes, over(tallies, held, now)...)
}

// trial returns how a refused request is tried, or its refusal ends.
func (t *tally) trial(h Held, now time.Time) (Change, bool) {
	c := Change{
		Hold: h.Hold,
		Ends: t.Ends,
	}
	pause := trialAfter[min(h.Try, len(trialAfter)-1)]
	asked := now.Sub(t.Asked) < askedLast
	failed := slices.ContainsFunc(t.Ends, func(e End) bool { return e.At.After(h.Since) })
	switch {
	case t.Cleared.After(h.Since):
		c.Stage, c.Trial, c.Why = persimmoncross.HoldFree, "", "it came to its end by itself"
	case h.Trial != "" && failed:
		c.Trial, c.Why = "", "an upstream ended under its trial"
	case h.Trial == "" && asked && now.Sub(h.Since) >= pause:
		c.Trial, c.Try, c.Why = t.Asker, h.Try+1, "it is tried once"
	case h.Trial != "" && now.Sub(h.Since) >= trialWait:
		c.Trial, c.Try, c.Why = "", h.Try-1, "its trial told nothing"
	default:
		return c, false
	}
	return c, true
}

// over returns the holds that end.
func over(tallies []*tally, held map[persimmoncross.Digest]Held, now time.Time) []Change {
	by := make(map[persimmoncross.Digest]*tally, len(tallies))
	for _, t := range tallies {
		by[t.Digest] = t
	}
	var changes []Change
	for d, h := range held {
		t := by[d]
		if t == nil {
			t = &tally{}
		}
		last := h.Since
		if t.Asked.After(last) {
			last = t.Asked
		}
		why := ""
		switch quiet := now.Sub(last); {
		case h.Stage == persimmoncross.HoldRefuse && quiet >= quietTime, h.Stage == persimmoncross.HoldWatch && quiet >= watchQuiet:
			why = "no copy came"
		case h.Stage == persimmoncross.HoldWatch && t.against < watchAt && len(t.own()) < refuseAt:
			why = "it came to its end"
		}
		if why != "" {
			h.Stage = persimmoncross.HoldFree
			changes = append(changes, Change{
				Hold: h.Hold,
				Why:  why,
			})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return changes
}

func (t *tally) change(s persimmoncross.HoldStage, why string, ends []End) Change {
	return Change{
		Hold: persimmoncross.Hold{
			Digest:  t.Digest,
			Service: t.Service,
			Stage:   s,
		},
		Why:  why,
		Ends: ends,
	}
}

// weigh counts for each request what speaks against it, the most suspect first. An
// end where a request ran that is refused already is explained, unless that one was
// sent there after it.
func weigh(cases []Case, held map[persimmoncross.Digest]Held, now time.Time) []*tally {
	refused := func(c Case) bool { return held[c.Digest].Stage == persimmoncross.HoldRefuse }
	ended := endings(cases)
	late := func(e End) bool { return e.sent().Sub(ended[e.Life]) > transit }
	explained := map[string]bool{}
	for _, c := range cases {
		for _, e := range c.Ends {
			if refused(c) && !late(e) {
				explained[e.Life] = true
			}
		}
	}
	tallies := make([]*tally, 0, len(cases))
	var sum time.Duration
	ends := 0
	type two struct{ first, second float64 } // the most against any there
	at := map[string]two{}
	for _, c := range cases {
		c.Ends = slices.DeleteFunc(slices.Clone(c.Ends), func(e End) bool {
			return now.Sub(e.At) > endAge || !e.At.After(c.Cleared) || explained[e.Life] && !refused(c) || late(e)
		})
		t := &tally{
			Case: c,
		}
		tallies = append(tallies, t)
		for _, e := range c.Ends {
			sum += e.Ran
			ends++
		}
	}
	for _, t := range tallies {
		t.against = t.suspicion()
		t.weight = t.against * t.haste(sum/time.Duration(max(ends, 1)))
		for _, e := range t.Ends {
			m := at[e.Life]
			switch {
			case t.weight > m.first:
				m.first, m.second = t.weight, m.first
			case t.weight > m.second:
				m.second = t.weight
			}
			at[e.Life] = m
		}
	}
	for _, t := range tallies {
		t.rivals = make(map[string]float64, len(t.Ends))
		for _, e := range t.Ends {
			m := at[e.Life]
			t.rivals[e.Life] = m.first
			if m.first == t.weight {
				t.rivals[e.Life] = m.second // itself, or another with as much
			}
		}
	}
	slices.SortFunc(tallies, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.against, a.against), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return tallies
}

// endings returns when each life ended, as whoever learned of it first saw it.
func endings(cases []Case) map[string]time.Time {
	at := map[string]time.Time{}
	for _, c := range cases {
		for _, e := range c.Ends {
			if first, ok := at[e.Life]; !ok || e.At.Before(first) {
				at[e.Life] = e.At
			}
		}
	}
	return at
}

// sent returns when the run began, or was sent.
func (e End) sent() time.Time { return e.At.Add(-e.Ran) }

// suspicion is the number of ends less what speaks for the request: whole answers,
// and time for which upstreams survived it.
func (t *tally) suspicion() float64 {
	n := len(events(t.Ends))
	if n == 0 {
		return 0
	}
	return float64(n) - float64(t.Whole) - float64(t.Ran)/float64(survives*t.mean())
}

// settle returns for how long the request is watched before it is refused.
func (t *tally) settle() time.Duration {
	if t.Whole > 0 {
		return settleWhole
	}
	return settle
}

// mean returns for how long the request had run when upstreams ended.
func (t *tally) mean() time.Duration {
	sum := time.Duration(0)
	for _, e := range t.Ends {
		sum += e.Ran
	}
	return max(leastRun, sum/time.Duration(max(len(t.Ends), 1)))
}

// haste weighs how soon upstreams end under the request, against how soon they do
// under all: what merely ran beside the cause had run for any time.
func (t *tally) haste(usual time.Duration) float64 {
	return min(max(math.Sqrt(float64(max(usual, leastRun))/float64(t.mean())), 1/hasteMost), hasteMost)
}

// proved reports whether the ends that are a request's own are enough: where another
// suspect ran at some of them, it takes others at which none did. Upstreams with long
// queues always have one: there a request that never came to its end is proved by many.
func (t *tally) proved(own []End) bool {
	if t.Whole == 0 && len(own) >= manyAt {
		return true
	}
	contested := func(e End) bool { return t.rivals[e.Life] >= watchAt }
	if !slices.ContainsFunc(t.Ends, contested) {
		return true
	}
	return len(slices.DeleteFunc(slices.Clone(own), contested)) >= apartAt
}

// own returns one end of each event that nothing else explains as well.
func (t *tally) own() []End {
	if t.against < refuseAt {
		return nil
	}
	var own []End
	for _, e := range t.Ends {
		if t.weight >= dominates*t.rivals[e.Life] {
			own = append(own, e)
		}
	}
	return events(own)
}

// events returns the first end of each event. What began only after the event before
// is another one, however soon it comes.
func events(ends []End) []End {
	ends = slices.SortedFunc(slices.Values(ends), func(a, b End) int { return a.At.Compare(b.At) })
	var first []End
	for _, e := range ends {
		if n := len(first); n > 0 {
			before := first[n-1].At
			if e.At.Sub(before) <= together && e.At.Add(-e.Ran).Before(before.Add(-skew)) {
				continue
			}
		}
		first = append(first, e)
	}
	return first
}
