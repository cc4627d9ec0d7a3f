package node

import (
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
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
	accountEvery = loadEvery
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
	clock     persimmoncross.Clock
	documents shelf
	limits    ratelimit.Store

	mu       sync.Mutex // guards all below
	state    *register.State
	head     []byte // state without its document, encoded
	list     []persimmoncross.Upstream
	listed   uint64                  // counts the changes of list
	whole    []*wire.Upstream        // list, as it is sent to those who lack it; shared and never changed
	summed   *summed                 // of list; nil: not made yet
	packed   map[uint64][][]byte     // what followers with a count of listed lack, in packed parts
	lacks    map[uint64]*wire.Update // the same as it is; shared and never changed
	order    []string                // the lives of list, sorted; shared and never changed
	changes  []listChange
	colds    colds
	colded   uint64            // counts the changes of colds
	coldAt   map[string]uint64 // by life, at which count it changed last
	places   places
	read     time.Time
	entries  entryCount
	changed  chan struct{} // closed at each change, and replaced
	accounts map[string]account
}

type account struct {
	message *wire.Account
	at      time.Time
	fresh   bool // not relayed yet
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
func (h *hub) setState(s *register.State) {
	head := register.EncodeHead(s)
	if len(s.Document) > 0 {
		h.documents.put(s.Number, s.Document, s.Packed)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
	h.head = head
	h.wake()
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
	h.entries.set(n, h.clock.Now())
}

// take keeps a follower's account, which has the counts that changed.
func (h *hub) take(a *wire.Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var upgrades map[string]register.Upgrade
	if h.state != nil {
		upgrades = h.state.Upgrades
	}
	name := accountName(a)
	h.accounts[name] = account{
		message: merge(h.accounts[name].message, a, upgrades),
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
	asks   bool   // it has not chosen this controller: it gets no list and no document
	entry  bool   // it needs documents
	vm     string // the follower's name
	colded uint64
	limits uint64 // the version of the limits
	// limitsMore tells that not all changes of limits fitted into the last update.
	limitsMore bool
	state      *register.State
	listed     uint64
	sums       []uint64     // of the list that it had before
	packs      bool         // it reads packed upstreams
	bitmaps    bool         // it reads by bitmaps which lives left the list
	packed     [][]byte     // parts of the list that are still to be sent, after list
	begun      bool         // what is sent goes on with a list
	order      []string     // the lives of the list, sorted
	loads      time.Time    // when the loads are sent next
	list       *wire.Update // the list of which parts are still to be sent, nil: none
	next       []string     // order, once list is sent
	number     uint64       // of the document
	sum        uint64       // of the document
	holds      sentHolds
	more       bool      // there are more holds to send
	parts      *transfer // the document of which parts are still to be sent
}

// pending reports whether there is more to send at once.
func (s *sent) pending() bool {
	return s.list != nil || len(s.packed) > 0 || s.parts != nil || s.more || s.limitsMore
}

// next returns the update for a follower, and the channel that is closed at
// the next change.
func (h *hub) next(s *sent, leased bool, controllers []string) (*wire.Update, <-chan struct{}) {
	u := &wire.Update{
		Age:         -1,
		Leased:      leased,
		Controllers: controllers,
	}
	u.Datacentres = h.placesOf(controllers)
	if s.entry && !s.asks {
		u.Part = h.nextPart(s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	u.Entries = uint32(h.entries.n)
	if h.state != s.state && h.state != nil {
		u.Index = h.state.Index
		u.State = h.head
		s.state = h.state
	}
	if s.asks {
		return u, h.changed
	}
	if s.entry {
		s.more = !s.holds.next(u, h.state)
	}
	h.tellColds(u, s) // before the list that cold lives come with
	h.tellLimits(u, s)
	if s.list == nil && len(s.packed) == 0 && h.listed != s.listed {
		if s.listed == 0 {
			s.list = h.lacking(s.sums)
		} else {
			s.list = h.difference(s.listed)
			s.encodeRemoved()
		}
		if s.packs && len(s.list.GetUpstreams()) > upstreamsAtOnce {
			s.pack(h.packedList(s.listed, s.list))
		}
		s.listed = h.listed
		s.next = h.order
	}
	switch {
	case s.list != nil:
		s.listPart(u)
	case len(s.packed) > 0:
		s.packedPart(u)
	}
	// The age is that of a list which the follower has whole.
	if s.list == nil && len(s.packed) == 0 && h.listed == s.listed && !h.read.IsZero() {
		u.Age = int64(h.clock.Now().Sub(h.read))
	}
	return u, h.changed
}

// place notes in which data centre a controller stands.
func (h *hub) place(controller, dataCentre string) {
	if dataCentre == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.places == nil {
		h.places = places{}
	}
	h.places[controller] = dataCentre
}

// placesOf returns the data centres of the controllers.
func (h *hub) placesOf(controllers []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]string, len(controllers))
	for i, name := range controllers {
		list[i] = h.places[name]
	}
	return list
}

// nextPart returns the next part of the document that the follower lacks, nil
// if it lacks none. A document that is under way is sent to its end first: so
// each follower gets on however often documents change.
func (h *hub) nextPart(s *sent) *wire.Part {
	if s.parts == nil {
		s.parts = h.documents.from(s.number, s.sum)
	}
	if s.parts == nil {
		return nil
	}
	p, last := s.parts.part()
	if last {
		s.number = s.parts.document.number
		s.sum = s.parts.document.sum
		// A newer one may be there: what is pending is sent at once.
		s.parts = h.documents.from(s.number, s.sum)
	}
	return p
}
