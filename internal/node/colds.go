package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// How all know which upstreams are cold, and who may send there: the leader reads it
// with the list, gives each cold life its owners, once, and the controllers pass it on
// before the list that the life comes with.

// coldMargin is added to the time for which an upstream is told to be cold: what tells
// it is rounded, and under way.
const coldMargin = 100 * time.Millisecond

// colds are the lives that are cold, and their owners. A set that was told never changes.
type colds = map[string]slowstart.Cold

// coldWatch is what a controller remembers beside the hub's set.
type coldWatch struct {
	// Owned by the list's duty.
	led    time.Time                  // since when this process leads; zero: it does not
	number uint64                     // of the document that limits are of
	limits map[string]slowstart.Limit // by service
	list   []persimmoncross.Upstream  // as the leader read it last
	read   time.Time
	ended  map[string]time.Time // when an evacuation ended, by data centre

	mu        sync.Mutex // guards all below; the log's goroutine takes it
	evacuated map[string]register.Evacuation
	news      map[string]time.Time // ends that the duty has not seen
}

// follow takes a state: the upstreams of a data centre whose evacuation has ended are
// taken for cold.
func (w *coldWatch) follow(s *register.State, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.evacuated {
		if _, under := s.Evacuations[name]; !under {
			if w.news == nil {
				w.news = map[string]time.Time{}
			}
			w.news[name] = now
		}
	}
	w.evacuated = s.Evacuations
}

// look takes the ends of evacuations since the look before, and whether this process
// leads. It reports whether there is news for the leader.
func (w *coldWatch) look(leads bool, now time.Time) (news bool) {
	switch {
	case !leads:
		w.led = time.Time{}
		w.list = nil
	case w.led.IsZero():
		w.led = now
		news = true
	}
	for name, at := range w.ended {
		if now.Sub(at) > coldForget {
			delete(w.ended, name)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended == nil {
		w.ended = map[string]time.Time{}
	}
	maps.Copy(w.ended, w.news)
	news = news || len(w.news) > 0
	w.news = nil
	return news
}

// limits returns what cold upstreams bear, by service; services whose upstreams never
// are have none.
func (c *Controller) limits() map[string]slowstart.Limit {
	w := &c.colds
	s := c.register.Current()
	if c.Decode == nil || len(s.Document) == 0 || s.Number == w.number {
		return w.limits
	}
	w.number = s.Number
	c.OneDocument(func() {
		declared, err := c.Decode(s.Document)
		if err != nil {
			c.Log.Error().Err(err).Uint64("number", s.Number).Msg("a document that was kept can't be read")
			return
		}
		w.limits = c.limitsOf(declared)
	})
	return w.limits
}

// limitsOf returns what a document declares of cold upstreams.
func (c *Controller) limitsOf(declared *catalog.Catalog) map[string]slowstart.Limit {
	limits := map[string]slowstart.Limit{}
	for name, x := range declared.Services {
		if x.ColdFor > 0 {
			limits[name] = slowstart.Limit{
				Rate: x.ColdRate,
				Most: x.ColdRate*max(c.Site.Bounds.ColdOvershoot, 1) + c.Site.Bounds.ColdSlack,
				For:  x.ColdFor,
			}
		}
	}
	return limits
}

// updateColds tells which upstreams are cold, by the list as it was read last, before
// that list itself is told.
func (c *Controller) updateColds(now time.Time) {
	w := &c.colds
	list, read := w.list, w.read
	if list == nil {
		list, read = c.hub.upstreams()
	}
	var seen []slowstart.Seen
	for _, u := range list {
		ended, back := w.ended[u.DataCentre]
		if u.Cold <= 0 && !back {
			continue
		}
		l, limited := c.limits()[u.Service]
		if !limited {
			continue
		}
		until := time.Time{}
		if u.Cold > 0 {
			until = read.Add(u.Cold + coldMargin)
		}
		if at := ended.Add(l.For); back && at.After(until) {
			until = at
		}
		seen = append(seen, slowstart.Seen{
			Life:  u.Life(),
			Until: until,
			Limit: l,
		})
	}
	entries := c.hub.entryNames(now)
	// The leader before may have told of what began up to the list's lag later than this
	// one led.
	sole := w.led.Add(c.Site.List.Lag + coldMargin)
	next, fresh := slowstart.Next(c.hub.coldNow(), seen, entries, sole, now)
	if fresh > 0 {
		c.Log.Info().Int("upstreams", len(next)).Int("fresh", fresh).Int("entries", len(entries)).Msg("upstreams are cold")
		c.count("cold.assigned")
	}
	c.hub.setColds(next)
}

// coldForget is how long the end of an evacuation is remembered: longer than an upstream
// is cold.
const coldForget = time.Minute

// setColds takes which lives are cold.
func (h *hub) setColds(next colds) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if maps.EqualFunc(h.colds, next, sameCold) {
		return
	}
	h.colded++
	at := make(map[string]uint64, len(next))
	news := false
	for life, c := range next {
		at[life] = h.coldAt[life]
		if old, known := h.colds[life]; !known || !sameCold(old, c) {
			at[life] = h.colded
			news = true
		}
	}
	h.colds = next
	h.coldAt = at
	if news {
		h.wake()
	}
}

// addColds takes what the leader tells beside what it told before.
func (h *hub) addColds(told colds, now time.Time) {
	next := colds{}
	for life, c := range h.coldNow() {
		if c.Until.After(now) {
			next[life] = c
		}
	}
	maps.Copy(next, told)
	h.setColds(next)
}

func sameCold(a, b slowstart.Cold) bool {
	return a.Until.Equal(b.Until) && a.Pause == b.Pause && slices.Equal(a.Owners, b.Owners)
}

func (h *hub) coldNow() colds {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.colds
}

// entryNames returns the entries that are present, in order.
func (h *hub) entryNames(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, a := range h.accounts {
		if a.message.GetEntry() && now.Sub(a.at) <= accountAge {
			names = append(names, a.message.GetVm())
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// tellColds puts what has become cold into an update for a follower; an entry is told
// of itself only. What is warm is known by its time. The caller holds mu.
func (h *hub) tellColds(u *wire.Update, s *sent) {
	if h.colded == s.colded {
		return
	}
	now := h.clock.Now()
	for life, c := range h.colds {
		if h.coldAt[life] <= s.colded || !c.Until.After(now) {
			continue
		}
		x := &wire.Cold{
			Life:   life,
			Left:   uint32(c.Until.Sub(now) / time.Millisecond),
			Owners: c.Owners,
		}
		if s.entry {
			x.Owners = nil
		}
		if !s.entry || slices.Contains(c.Owners, s.vm) {
			x.Pause = uint32(c.Pause / time.Millisecond)
			x.Weight = float32(c.Weight)
		}
		u.Colds = append(u.Colds, x)
	}
	s.colded = h.colded
}

// coldsOf reads what an update tells; nil if it tells nothing.
func coldsOf(u *wire.Update, now time.Time) colds {
	if len(u.GetColds()) == 0 {
		return nil
	}
	told := colds{}
	for _, x := range u.GetColds() {
		told[x.GetLife()] = slowstart.Cold{
			Until:  now.Add(time.Duration(x.GetLeft()) * time.Millisecond),
			Owners: x.GetOwners(),
			Pause:  time.Duration(x.GetPause()) * time.Millisecond,
			Weight: float64(x.GetWeight()),
		}
	}
	return told
}
