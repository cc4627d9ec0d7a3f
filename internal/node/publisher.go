package node

import (
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// Intervals and timeouts of the streams to followers.
const (
	// updateInterval is the interval between updates while nothing changes.
	updateInterval = 250 * time.Millisecond
	// updateTimeout is the silence after which a follower leaves its controller. By then two
	// updates are missing, and there is time to find another controller before a change must be
	// in force.
	updateTimeout = 700 * time.Millisecond
	// reportInterval is the interval between a follower's reports while their statistics
	// change. keepaliveInterval is the interval while they only show that the follower is
	// present.
	reportInterval    = loadInterval
	keepaliveInterval = 2 * time.Second
	// loadInterval is the interval between reports of upstream loads. It is shorter than the
	// prefill of a long prompt.
	loadInterval = 250 * time.Millisecond
	// presenceTimeout is how long after its last report an entry counts as present.
	presenceTimeout = 7 * time.Second
	// canaryStatsRetention is how long the canary statistics of an entry that no longer reports
	// are kept.
	canaryStatsRetention = 2 * time.Minute
)

// publisher holds what a controller sends to its followers, and the reports received from them.
type publisher struct {
	clock     persimmoncross.Clock
	documents documentStore
	limits    ratelimit.Store
	detours   detourRegistry

	mu            sync.Mutex // guards all below
	state         *register.State
	encodedState  []byte // state without its document, encoded
	list          []persimmoncross.Upstream
	listVersion   uint64                  // number of changes of list
	fullList      []*wire.Upstream        // list as sent to followers that need all of it; shared, read-only
	checksummed   *checksummedList        // list with its checksums; nil: not computed yet
	packedSince   map[uint64][][]byte     // packed parts of the list or delta, by the list version of the follower
	deltaSince    map[uint64]*wire.Update // the same lists and deltas unpacked; shared, read-only
	listIDs       []string                // instance IDs of list, sorted; shared, read-only
	recentDeltas  []listDelta
	cold          coldUpstreams
	coldVersion   uint64            // number of changes of cold
	coldChangedAt map[string]uint64 // by instance ID, the coldVersion of the last change
	dataCentres   dataCentreByController
	listReadAt    time.Time
	entries       entryCount
	changed       chan struct{} // closed and replaced at each change
	reports       map[string]receivedReport
}

type receivedReport struct {
	message     *wire.Account
	receivedAt  time.Time
	unforwarded bool // not forwarded to the leader yet
}

func newPublisher(clock persimmoncross.Clock) *publisher {
	return &publisher{
		clock: clock,
		detours: detourRegistry{
			clock: clock,
		},
		changed: make(chan struct{}),
		reports: map[string]receivedReport{},
	}
}

func (p *publisher) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// setState publishes the register's latest state.
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

// upstreams returns the list of upstreams and when it was read.
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

// receiveReport stores a follower's report. The report carries only the canary statistics that
// changed, so they are merged with the stored ones.
func (p *publisher) receiveReport(a *wire.Account) {
	p.detours.report(a)
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

// currentReports returns the reports and the number of entries that are present. Canary
// statistics of an entry that no longer reports remain valid while the upgrade runs; they are
// kept for canaryStatsRetention.
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

// maxReportAge is the age up to which an entry's latest report shows that the entry is heard now. It
// allows for the delay of a keepalive.
const maxReportAge = keepaliveInterval + 500*time.Millisecond

// entriesHeard returns the number of entries that are heard now.
func (p *publisher) entriesHeard(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, a := range p.reports {
		if a.message.GetEntry() && now.Sub(a.receivedAt) <= maxReportAge {
			n++
		}
	}
	return n
}

// takeUnforwardedReports returns the reports that arrived since the previous call.
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

// followerState is what was sent to one follower and what is still to be sent.
type followerState struct {
	probing       bool   // the follower has not chosen this controller yet: it gets no list and no document
	entry         bool   // the follower is an entry, which needs documents
	vm            string // name of the follower
	dataCentre    string // of the follower
	detours       sentDetours
	coldVersion   uint64
	limitsVersion uint64 // version of the rate limits that were sent
	// hasMoreLimits is set if the changed rate limits did not all fit into the last update.
	hasMoreLimits          bool
	state                  *register.State
	listVersion            uint64
	initialChecksums       []uint64  // partition checksums of the list that the follower had at first
	acceptsPacked          bool      // the follower decodes packed upstreams
	acceptsBitmaps         bool      // the follower decodes bitmaps of removed instance IDs
	pendingPacked          [][]byte  // packed parts of the list still to be sent, after pendingList
	pendingPackedIsPartial bool      // the next packed part adds to the follower's list instead of replacing it
	listIDs                []string  // instance IDs of the list that the follower has, sorted
	nextLoadsAt            time.Time // when loads are sent next
	nextRequestsAt         time.Time // when counts of requests are sent next
	demands                demandSender
	pendingList            *wire.Update // the rest of the list that is still to be sent; nil: none
	pendingListIDs         []string     // listIDs once the pending list is sent
	documentNumber         uint64       // number of the document that the follower has
	documentChecksum       uint64       // checksum of the document that the follower has
	sentQuarantines        sentQuarantines
	hasMoreQuarantines     bool              // more quarantines are to be sent
	documentTransfer       *documentTransfer // the document being sent; nil: none
}

// hasPending reports whether more data is to be sent without waiting.
func (s *followerState) hasPending() bool {
	return s.pendingList != nil || len(s.pendingPacked) > 0 || s.documentTransfer != nil || s.hasMoreQuarantines || s.hasMoreLimits
}

// nextUpdate returns the next update for a follower, and the channel that is closed at the next
// change.
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
	p.detours.addDetours(u, s, p.clock.Now())
	if s.entry {
		s.hasMoreQuarantines = !s.sentQuarantines.addChanges(u, p.state)
	}
	p.addColdUpstreams(u, s) // must precede the list that contains the cold upstreams
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
	// The age is sent only once the follower has the whole list.
	if s.pendingList == nil && len(s.pendingPacked) == 0 && p.listVersion == s.listVersion && !p.listReadAt.IsZero() {
		u.Age = int64(p.clock.Now().Sub(p.listReadAt))
	}
	return u, p.changed
}

// setDataCentre records the data centre of a controller.
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

// dataCentresOf returns the data centres of the controllers, "" where unknown.
func (p *publisher) dataCentresOf(controllers []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	dataCentres := make([]string, len(controllers))
	for i, name := range controllers {
		dataCentres[i] = p.dataCentres[name]
	}
	return dataCentres
}

// nextDocumentPart returns the next part of the document that the follower lacks, or nil if it
// lacks none. A transfer that has begun is completed before a newer document is sent, so that
// each follower makes progress however often documents change.
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
		// A newer document may exist by now; its transfer starts at once.
		s.documentTransfer = p.documents.newTransfer(s.documentNumber, s.documentChecksum)
	}
	return part
}
