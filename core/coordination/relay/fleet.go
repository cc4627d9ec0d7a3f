package relay

import (
	"time"

	"persimmoncross"
)

// sharedAge is how old what all entries know is taken to be when it comes: half
// the interval of accounts and of updates, over two controllers.
const sharedAge = 500 * time.Millisecond

// FleetLoad is what all entries together know of an upstream.
type FleetLoad struct {
	Incarnation string
	Told        *persimmoncross.Load // by the upstream, without its slots; nil: not lately
	Work        time.Duration        // that the prompts take to be read whose answers have not begun
}

// fleet is the same, kept with its target.
type fleet struct {
	told *persimmoncross.Load
	work time.Duration
	at   time.Time
}

// EntryLoad is what this entry knows of an upstream.
type EntryLoad struct {
	Incarnation string
	Told        *persimmoncross.Load // nil: nothing since the call before
	At          time.Time            // of Told
	Work        time.Duration        // of this entry's own prompts
}

// Loads returns what this entry knows that the others may not.
func (p *Pool) Loads() []EntryLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []EntryLoad
	for id, t := range p.byID {
		l := t.report()
		if l.Told == nil && l.Work == 0 {
			continue
		}
		l.Incarnation = id
		list = append(list, l)
	}
	return list
}

func (t *Target) report() EntryLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := EntryLoad{}
	if t.news {
		told := t.told
		l.Told = &told
		l.At = t.at
		t.news = false
	}
	_, l.Work = t.since(time.Time{})
	return l
}

// Learn takes what all entries know.
func (p *Pool) Learn(loads []FleetLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.Clock.Now().Add(-sharedAge)
	for _, l := range loads {
		if t := p.byID[l.Incarnation]; t != nil {
			t.learn(l, at)
		}
	}
}

func (t *Target) learn(l FleetLoad, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = fleet{
		told: l.Told,
		work: l.Work,
		at:   at,
	}
}

// since counts the requests whose heads are awaited and that were sent after the
// time, and adds up the reading of their prompts. The caller holds mu.
func (t *Target) since(at time.Time) (n int, work time.Duration) {
	for _, a := range t.asked {
		if a.at.After(at) {
			n++
			work += a.work
		}
	}
	return n, work
}

// reading estimates how long the prompts take to be read that the target has to
// read now: what all entries await there, and what this one has sent since.
func (t *Target) reading(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, own := t.since(time.Time{})
	if now.Sub(t.all.at) > loadAge {
		return own
	}
	_, sent := t.since(t.all.at)
	return max(t.all.work+sent, own)
}

// crowd estimates the requests at the target from what it told any entry. It is
// half a second old: of use where requests last longer than that.
func (t *Target) crowd(now time.Time) float64 {
	t.mu.Lock()
	all := t.all
	sent, _ := t.since(all.at)
	newer := all.told != nil && all.at.After(t.at) && now.Sub(all.at) <= loadAge
	t.mu.Unlock()
	if !newer {
		return t.busy(now)
	}
	return max(float64(all.told.Running+all.told.Waiting+sent), float64(t.inFlight.Load()))
}
