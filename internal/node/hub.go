package node

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// Times of the stream to followers.
const (
	// updateEvery is the pause between updates in which nothing changed.
	updateEvery = 250 * time.Millisecond
	// updateSilence ends a follower's wait: two updates are missing, and another
	// controller is found before a change has to be in force.
	updateSilence = 700 * time.Millisecond
	// accountEvery is the pause between a follower's accounts while there is
	// something to tell, presentEvery where it only tells that it is there.
	accountEvery = 500 * time.Millisecond
	presentEvery = 2 * time.Second
	// loadEvery is the pause between accounts of the upstreams' loads: less than
	// a long prompt takes to be read.
	loadEvery = 250 * time.Millisecond
	// accountAge is how long an account counts its entry as present.
	accountAge = 7 * time.Second
	// trialAge is how long the counts of an entry that is gone are kept.
	trialAge = 2 * time.Minute
)

// hub holds what a controller tells its followers, and what they told it.
type hub struct {
	clock persimmoncross.Clock

	mu       sync.Mutex // guards all below
	state    *register.State
	data     []byte // state, encoded
	list     []persimmoncross.Upstream
	listed   uint64           // counts the changes of list
	whole    []*wire.Upstream // list, as it is sent to those who lack it; shared and never changed
	order    []string         // the incarnations of list, sorted; shared and never changed
	changes  []listChange
	read     time.Time
	entries  int
	changed  chan struct{} // closed at each change, and replaced
	accounts map[string]account
}

type account struct {
	message *wire.Account
	at      time.Time
	fresh   bool // not relayed yet
}

// listChange is what one change of the list was: a list of thousands changes by
// a few.
type listChange struct {
	listed  uint64 // the count after it
	changed []persimmoncross.Upstream
	gone    []string
}

// keptChanges bounds the changes that a follower may lag behind before it is sent
// the whole list.
const keptChanges = 32

// difference returns how a list became another.
func difference(from, to []persimmoncross.Upstream) (changed []persimmoncross.Upstream, gone []string) {
	before := make(map[string]persimmoncross.Upstream, len(from))
	for _, u := range from {
		before[u.Incarnation] = u
	}
	for _, u := range to {
		if old, ok := before[u.Incarnation]; !ok || !sameUpstream(old, u) {
			changed = append(changed, u)
		}
		delete(before, u.Incarnation)
	}
	for id := range before {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return changed, gone
}

func newHub(clock persimmoncross.Clock) *hub {
	return &hub{
		clock:    clock,
		changed:  make(chan struct{}),
		accounts: map[string]account{},
	}
}

func (h *hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// setState takes the register's latest state.
func (h *hub) setState(s *register.State, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
	h.data = data
	h.wake()
}

// setList takes the list as it was at the time, unless a later one is held.
func (h *hub) setList(list []persimmoncross.Upstream, read time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if read.Before(h.read) {
		return false
	}
	h.read = read
	if !slices.EqualFunc(h.list, list, sameUpstream) {
		h.listed++
		changed, gone := difference(h.list, list)
		h.changes = append(h.changes, listChange{
			listed:  h.listed,
			changed: changed,
			gone:    gone,
		})
		if n := len(h.changes); n > keptChanges {
			h.changes = slices.Clone(h.changes[n-keptChanges:])
		}
		h.list = list
		h.whole = nil
		h.order = make([]string, 0, len(list))
		for _, u := range list {
			h.order = append(h.order, u.Incarnation)
		}
		slices.Sort(h.order)
		h.order = slices.Compact(h.order)
		h.wake()
	}
	return true
}

func sameUpstream(a, b persimmoncross.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Version == b.Version && a.Slots == b.Slots && a.Leaving == b.Leaving && slices.Equal(a.Models, b.Models)
}

// upstreams returns the list and when it was read.
func (h *hub) upstreams() ([]persimmoncross.Upstream, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list, h.read
}

func (h *hub) setEntries(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = n
}

// take keeps a follower's account. A late one of the same process is dropped.
func (h *hub) take(a *wire.Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accounts[a.GetVm()+"#"+a.GetIncarnation()] = account{
		message: a,
		at:      h.clock.Now(),
		fresh:   true,
	}
}

// recent returns the accounts, and how many are of entries that are present.
// Counts of an entry that is gone stay valid for as long as its upgrade runs.
func (h *hub) recent(now time.Time) (accounts []*wire.Account, entries int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, a := range h.accounts {
		present := now.Sub(a.at) <= accountAge
		if !present && (len(a.message.GetTrials()) == 0 || now.Sub(a.at) > trialAge) {
			delete(h.accounts, key)
			continue
		}
		if present && a.message.GetEntry() {
			entries++
		}
		accounts = append(accounts, a.message)
	}
	return accounts, entries
}

// unrelayed returns the accounts that came since the call before.
func (h *hub) unrelayed() []*wire.Account {
	h.mu.Lock()
	defer h.mu.Unlock()
	var accounts []*wire.Account
	for key, a := range h.accounts {
		if a.fresh {
			a.fresh = false
			h.accounts[key] = a
			accounts = append(accounts, a.message)
		}
	}
	return accounts
}

// sent is what one follower has got.
type sent struct {
	state  *register.State
	listed uint64
	order  []string  // the incarnations of the list, sorted
	loaded time.Time // when the loads were sent
}

// next returns the update for a follower, and the channel that is closed at
// the next change.
func (h *hub) next(s *sent, leased bool, controllers []string) (*wire.Update, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := &wire.Update{
		Age:         -1,
		Leased:      leased,
		Controllers: controllers,
		Entries:     uint32(h.entries),
	}
	if !h.read.IsZero() {
		u.Age = int64(h.clock.Now().Sub(h.read))
	}
	if h.state != s.state && h.state != nil {
		u.Index = h.state.Index
		u.State = h.data
		s.state = h.state
	}
	if h.listed != s.listed {
		h.addList(u, s.listed)
		s.listed = h.listed
		s.order = h.order
	}
	return u, h.changed
}

// addList puts the list into an update: what changed since the follower's count,
// or all of it where that is not known any more.
func (h *hub) addList(u *wire.Update, since uint64) {
	u.Listed = true
	if since == 0 || len(h.changes) == 0 || h.changes[0].listed > since+1 {
		if h.whole == nil {
			h.whole = make([]*wire.Upstream, 0, len(h.list))
			for _, x := range h.list {
				h.whole = append(h.whole, fromUpstream(x))
			}
		}
		u.Upstreams = h.whole
		return
	}
	u.Partial = true
	changed := map[string]persimmoncross.Upstream{}
	gone := map[string]bool{}
	for _, c := range h.changes {
		if c.listed <= since {
			continue
		}
		for _, x := range c.changed {
			changed[x.Incarnation] = x
			delete(gone, x.Incarnation)
		}
		for _, id := range c.gone {
			gone[id] = true
			delete(changed, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		u.Upstreams = append(u.Upstreams, fromUpstream(changed[id]))
	}
	u.Gone = slices.Sorted(maps.Keys(gone))
}

func fromUpstream(u persimmoncross.Upstream) *wire.Upstream {
	return &wire.Upstream{
		Incarnation: u.Incarnation,
		Service:     u.Service,
		Address:     u.Address.String(),
		Datacentre:  u.DataCentre,
		Version:     u.Version,
		Slots:       uint32(u.Slots),
		Leaving:     u.Leaving,
		Models:      u.Models,
	}
}

// upstreamsOf returns the list of an update; an address that can't be read is
// left out.
func upstreamsOf(m *wire.Update) []persimmoncross.Upstream {
	var list []persimmoncross.Upstream
	for _, u := range m.GetUpstreams() {
		address, err := netip.ParseAddrPort(u.GetAddress())
		if err != nil {
			continue
		}
		list = append(list, persimmoncross.Upstream{
			Incarnation: u.GetIncarnation(),
			Service:     u.GetService(),
			Address:     address,
			DataCentre:  u.GetDatacentre(),
			Version:     u.GetVersion(),
			Slots:       int(u.GetSlots()),
			Leaving:     u.GetLeaving(),
			Models:      u.GetModels(),
		})
	}
	return list
}
