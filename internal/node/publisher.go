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
	// updateInterval is the pause between updates in which nothing changed.
	updateInterval = 250 * time.Millisecond
	// updateTimeout ends a follower's wait: two updates are missing, and another
	// controller is found before a change has to be in force.
	updateTimeout = 700 * time.Millisecond
	// reportInterval is the pause between a follower's accounts while there is
	// something to tell, presentEvery where it only tells that it is there.
	reportInterval    = loadInterval
	keepaliveInterval = 2 * time.Second
	// loadInterval is the pause between accounts of the upstreams' loads: less than
	// a long prompt takes to be read.
	loadInterval = 250 * time.Millisecond
	// presenceTimeout is how long an account counts its entry as present.
	presenceTimeout = 7 * time.Second
	// canaryStatsRetention is how long the counts of an entry that is gone are kept.
	canaryStatsRetention = 2 * time.Minute
)

// publisher holds what a controller tells its followers, and what they told it.
type publisher struct {
	clock     persimmoncross.Clock
	documents documentStore
	limits    ratelimit.Store

	mu            sync.Mutex // guards all below
	state         *register.State
	encodedState  []byte // state without its document, encoded
	list          []persimmoncross.Upstream
	listVersion   uint64                  // counts the changes of list
	fullList      []*wire.Upstream        // list, as it is sent to those who lack it; shared and never changed
	checksummed   *checksummedList        // of list; nil: not made yet
	packedSince   map[uint64][][]byte     // what followers with a count of listed lack, in packed parts
	deltaSince    map[uint64]*wire.Update // the same as it is; shared and never changed
	listIDs       []string                // the lives of list, sorted; shared and never changed
	recentDeltas  []listDelta
	cold          coldUpstreams
	coldVersion   uint64            // counts the changes of colds
	coldChangedAt map[string]uint64 // by life, at which count it changed last
	dataCentres   dataCentreByController
	listReadAt    time.Time
	entries       entryCount
	changed       chan struct{} // closed at each change, and replaced
	reports       map[string]receivedReport
}

type receivedReport struct {
	message     *wire.Account
	receivedAt  time.Time
	unforwarded bool // not relayed yet
}

func newPublisher(clock persimmoncross.Clock) *publisher {
	return &publisher{
		clock:   clock,
		changed: make(chan struct{}),
		reports: map[string]receivedReport{},
	}
}

func (p *publisher) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// setState takes the register's latest state.
func (p *publisher) setState(s *register.State) {
	encoded := register.EncodeHead(s)
	if len(s.Document) > 0 {
		p.documents.add(s.Number, s.Document, s.Packed)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	p.encodedState = encoded
	p.notify()
}

// upstreams returns the list and when it was read.
func (p *publisher) upstreams() ([]persimmoncross.Upstream, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.listReadAt
}

func (p *publisher) setEntries(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries.update(n, p.clock.Now())
}

// receiveReport keeps a follower's account, which has the counts that changed.
func (p *publisher) receiveReport(a *wire.Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var upgrades map[string]register.Upgrade
	if p.state != nil {
		upgrades = p.state.Upgrades
	}
	id := reporterID(a)
	p.reports[id] = receivedReport{
		message:     mergeCanaryStats(p.reports[id].message, a, upgrades),
		receivedAt:  p.clock.Now(),
		unforwarded: true,
	}
}

// currentReports returns the accounts, and how many are of entries that are present.
// Counts of an entry that is gone stay valid for as long as its upgrade runs.
func (p *publisher) currentReports(now time.Time) (reports []*wire.Account, entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, a := range p.reports {
		present := now.Sub(a.receivedAt) <= presenceTimeout
		if !present && (len(a.message.GetTrials()) == 0 || now.Sub(a.receivedAt) > canaryStatsRetention) {
			delete(p.reports, key)
			continue
		}
		if present && a.message.GetEntry() {
			entries++
		}
		reports = append(reports, a.message)
	}
	return reports, entries
}

// takeUnforwardedReports returns the accounts that came since the call before.
func (p *publisher) takeUnforwardedReports() []*wire.Account {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []*wire.Account
	for key, a := range p.reports {
		if a.unforwarded {
			a.unforwarded = false
			p.reports[key] = a
			reports = append(reports, a.message)
		}
	}
	return reports
}

// followerState is what one follower has got.
type followerState struct {
	probing       bool   // it has not chosen this controller: it gets no list and no document
	entry         bool   // it needs documents
	vm            string // the follower's name
	coldVersion   uint64
	limitsVersion uint64 // the version of the limits
	// hasMoreLimits tells that not all changes of limits fitted into the last update.
	hasMoreLimits      bool
	state              *register.State
	listVersion        uint64
	initialChecksums   []uint64     // of the list that it had before
	acceptsPacked      bool         // it reads packed upstreams
	acceptsBitmaps     bool         // it reads by bitmaps which lives left the list
	pendingPacked      [][]byte     // parts of the list that are still to be sent, after list
	listStarted        bool         // what is sent goes on with a list
	listIDs            []string     // the lives of the list, sorted
	nextLoadsAt        time.Time    // when the loads are sent next
	pendingList        *wire.Update // the list of which parts are still to be sent, nil: none
	pendingListIDs     []string     // order, once list is sent
	documentNumber     uint64       // of the document
	documentChecksum   uint64       // of the document
	holds              sentQuarantines
	hasMoreQuarantines bool              // there are more holds to send
	documentTransfer   *documentTransfer // the document of which parts are still to be sent
}

// hasPending reports whether there is more to send at once.
func (s *followerState) hasPending() bool {
	return s.pendingList != nil || len(s.pendingPacked) > 0 || s.documentTransfer != nil || s.hasMoreQuarantines || s.hasMoreLimits
}

// nextUpdate returns the update for a follower, and the channel that is closed at
// the nextUpdate change.
func (p *publisher) nextUpdate(s *followerState, leased bool, controllers []string) (*wire.Update, <-chan struct{}) {
	u := &wire.Update{
		Age:         -1,
		Leased:      leased,
		Controllers: controllers,
	}
	u.Datacentres = p.dataCentresOf(controllers)
	if s.entry && !s.probing {
		u.Part = p.nextDocumentPart(s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u.Entries = uint32(p.entries.count)
	if p.state != s.state && p.state != nil {
		u.Index = p.state.Index
		u.State = p.encodedState
		s.state = p.state
	}
	if s.probing {
		return u, p.changed
	}
	if s.entry {
		s.hasMoreQuarantines = !s.holds.addChanges(u, p.state)
	}
	p.addColdUpstreams(u, s) // before the list that cold lives come with
	p.addLimits(u, s)
	if s.pendingList == nil && len(s.pendingPacked) == 0 && p.listVersion != s.listVersion {
		if s.listVersion == 0 {
			s.pendingList = p.listDeltaFromChecksums(s.initialChecksums)
		} else {
			s.pendingList = p.listDeltaSince(s.listVersion)
			s.encodeRemovedBitmap()
		}
		if s.acceptsPacked && len(s.pendingList.GetUpstreams()) > maxUpstreamsPerUpdate {
			s.setPendingPacked(p.packedParts(s.listVersion, s.pendingList))
		}
		s.listVersion = p.listVersion
		s.pendingListIDs = p.listIDs
	}
	switch {
	case s.pendingList != nil:
		s.addListPart(u)
	case len(s.pendingPacked) > 0:
		s.addPackedPart(u)
	}
	// The age is that of a list which the follower has whole.
	if s.pendingList == nil && len(s.pendingPacked) == 0 && p.listVersion == s.listVersion && !p.listReadAt.IsZero() {
		u.Age = int64(p.clock.Now().Sub(p.listReadAt))
	}
	return u, p.changed
}

// setDataCentre notes in which data centre a controller stands.
func (p *publisher) setDataCentre(controller, dataCentre string) {
	if dataCentre == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dataCentres == nil {
		p.dataCentres = dataCentreByController{}
	}
	p.dataCentres[controller] = dataCentre
}

// dataCentresOf returns the data centres of the controllers.
func (p *publisher) dataCentresOf(controllers []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	dataCentres := make([]string, len(controllers))
	for i, name := range controllers {
		dataCentres[i] = p.dataCentres[name]
	}
	return dataCentres
}

// nextDocumentPart returns the next part of the document that the follower lacks, nil
// if it lacks none. A document that is under way is sent to its end first: so
// each follower gets on however often documents change.
func (p *publisher) nextDocumentPart(s *followerState) *wire.Part {
	if s.documentTransfer == nil {
		s.documentTransfer = p.documents.newTransfer(s.documentNumber, s.documentChecksum)
	}
	if s.documentTransfer == nil {
		return nil
	}
	part, last := s.documentTransfer.nextPart()
	if last {
		s.documentNumber = s.documentTransfer.document.number
		s.documentChecksum = s.documentTransfer.document.checksum
		// A newer one may be there: what is pending is sent at once.
		s.documentTransfer = p.documents.newTransfer(s.documentNumber, s.documentChecksum)
	}
	return part
}
