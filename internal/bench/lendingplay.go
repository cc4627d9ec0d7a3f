package bench

import (
	"math/rand/v2"
	"time"

	"persimmoncross/core/coordination/admission"
	"persimmoncross/core/coordination/lending"
)

// lendingRequest is a request on its way.
type lendingRequest struct {
	entry   int
	arrived time.Time
	sent    time.Time
	ends    time.Time
	ahead   int // that waited at the upstream when it was sent, by its last load
}

type lendingUpstream struct {
	running []*lendingRequest
	queue   []*lendingRequest
	asks    []*lendingRequest
	lost    time.Time // the owner is lost until then
}

type lendingEntry struct {
	waiting []*lendingRequest
	window  admission.Window
	account lending.Account
	sends   []time.Time
	since   [][]time.Time // own sends to each upstream
	deaf    bool
	dead    bool
}

// lendingNews is what all entries know, as of a time.
type lendingNews struct {
	at       time.Time
	requests []int // at each upstream
	queued   []int
	waiting  int // at all entries
	begun    float64
}

type lendingPlay struct {
	upstreams []*lendingUpstream
	entries   []*lendingEntry
	slots     int
	way       lendingWayOf
	failure   lendingFailure
	random    *rand.Rand
	start     time.Time
	now       time.Time
	on        []lendingNews // on the way
	lastNews  lendingNews   // that entries have
	begun     int           // since the last report
	figures   lendingFigures
}

type lendingFigures struct {
	overbooked, idle, served, messages, bytes float64
	asked, inTime, sent, booked, idleSteps    int
	slotSteps, sentMessages                   int
	waits                                     []time.Duration
}

func (f lendingFigures) values() []float64 {
	return []float64{f.overbooked, quantile(f.waits, 0.5), quantile(f.waits, 0.95), f.idle, f.served, f.messages, f.bytes}
}

func newLendingPlay(entries, upstreams, slots int, w lendingWayOf, f lendingFailure, seed uint64) *lendingPlay {
	p := &lendingPlay{
		slots:   slots,
		way:     w,
		failure: f,
		random:  rand.New(rand.NewPCG(seed, 77)),
		start:   time.Unix(1000, 0),
	}
	for range upstreams {
		p.upstreams = append(p.upstreams, &lendingUpstream{})
	}
	for i := range entries {
		p.entries = append(p.entries, &lendingEntry{
			since: make([][]time.Time, upstreams),
			deaf:  f.deaf > 0 && i%f.deaf == 0,
		})
	}
	return p
}

func (p *lendingPlay) run(scale int) lendingFigures {
	capacity := float64(len(p.upstreams)*p.slots) / lendingHold.Seconds()
	short := lendingShort * time.Duration(scale)
	length := lendingCalm + short + lendingCalm
	carry := 0.0
	for at := time.Duration(0); at < length; at += lendingStep {
		p.now = p.start.Add(at)
		load := 0.8
		if at >= lendingCalm && at < lendingCalm+short {
			load = 2
		}
		if at == lendingCalm+short/2 {
			p.fail()
		}
		p.end()
		if at%lendingReport == 0 {
			p.report()
		}
		p.receive()
		for carry += load * capacity * lendingStep.Seconds(); carry >= 1; carry-- {
			p.arrive()
		}
		for _, i := range p.random.Perm(len(p.entries)) {
			p.decide(i)
		}
		p.ownersGrant()
		p.begin()
		p.count(at >= lendingCalm && at < lendingCalm+short)
	}
	f := p.figures
	f.overbooked = 100 * float64(f.booked) / float64(max(f.sent, 1))
	f.idle = 100 * float64(f.idleSteps) / float64(max(f.slotSteps, 1))
	f.served = 100 * float64(f.inTime) / float64(max(f.asked, 1))
	f.messages = float64(f.sentMessages) / length.Seconds()
	f.bytes = f.messages * lendingMessage / 1000 / float64(len(p.entries))
	return f
}

// fail brings about what goes wrong once.
func (p *lendingPlay) fail() {
	if p.failure.death {
		for _, e := range p.entries[:max(len(p.entries)/10, 1)] {
			e.dead, e.waiting = true, nil
		}
	}
	if p.failure.ownerDie {
		for _, u := range p.upstreams[:max(len(p.upstreams)/10, 1)] {
			u.lost = p.now.Add(lendingLost)
		}
	}
	if p.failure.leader {
		p.on = nil
	}
}

// report takes the loads and the sum of what waits.
func (p *lendingPlay) report() {
	failedAt := p.start.Add(lendingCalm + lendingShort/2)
	if p.failure.leader && !p.now.Before(failedAt) && p.now.Before(failedAt.Add(lendingLost)) {
		return
	}
	n := lendingNews{
		at:    p.now,
		begun: float64(p.begun) / lendingReport.Seconds(),
	}
	p.begun = 0
	for _, u := range p.upstreams {
		n.requests = append(n.requests, len(u.running)+len(u.queue))
		n.queued = append(n.queued, len(u.queue))
	}
	for _, e := range p.entries {
		if !e.deaf {
			n.waiting += len(e.waiting)
		}
	}
	p.on = append(p.on, n)
}

// receive makes the entries apply the news that have come.
func (p *lendingPlay) receive() {
	came := false
	for len(p.on) > 0 && p.now.Sub(p.on[0].at) >= lendingWay+p.failure.late {
		p.lastNews = p.on[0]
		p.on = p.on[1:]
		came = true
	}
	if !came || !p.way.credits {
		return
	}
	room := 0.0
	for i := range p.upstreams {
		room += p.room(i)
	}
	hearing := len(p.entries)
	if p.failure.deaf > 0 {
		hearing -= hearing / p.failure.deaf
	}
	for _, e := range p.entries {
		if e.deaf || e.dead {
			continue
		}
		e.account.Divide(lending.Demand{
			Room:      room,
			LoadAge:   lendingBooked,
			Waiting:   []int{p.lastNews.waiting},
			Own:       []int{len(e.waiting)},
			BeginRate: p.lastNews.begun,
			Summed:    hearing,
			Entries:   len(p.entries),
		}, p.now, p.random.Float64())
	}
}

func (p *lendingPlay) arrive() {
	i := p.random.IntN(len(p.entries))
	for p.entries[i].dead {
		i = p.random.IntN(len(p.entries))
	}
	p.figures.asked++
	p.entries[i].waiting = append(p.entries[i].waiting, &lendingRequest{
		entry:   i,
		arrived: p.now,
	})
}

// decide sends what the entry may send, and refuses what can't end in time any more.
func (p *lendingPlay) decide(i int) {
	e := p.entries[i]
	for len(e.waiting) > 0 && p.now.Sub(e.waiting[0].arrived) > lendingBegin-lendingBooked {
		e.waiting = e.waiting[1:]
	}
	if p.way.owner {
		for _, r := range e.waiting {
			p.ask(r)
		}
		e.waiting = nil
		return
	}
	for len(e.waiting) > 0 {
		limited := p.way.credits && e.account.IsActive(p.now)
		if limited && !e.account.MaySend(p.now) || (p.way.window || !limited) && !e.window.Open() {
			return
		}
		u, ok := p.place(e, limited)
		if !ok {
			return
		}
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.window.Send()
		e.account.Send()
		e.sends = append(e.sends, p.now)
		e.since[u] = append(e.since[u], p.now)
		if len(p.lastNews.queued) > 0 {
			r.ahead = p.lastNews.queued[u]
		}
		p.send(r, u)
	}
}

// place returns the upstream that would begin a request soonest of two that have room.
func (p *lendingPlay) place(e *lendingEntry, limited bool) (best int, ok bool) {
	if e.deaf || len(p.lastNews.requests) == 0 || p.now.Sub(p.lastNews.at) > 2*time.Second {
		return p.random.IntN(len(p.upstreams)), true
	}
	e.sends = after(e.sends, p.now.Add(-lendingBooked))
	inflow := admission.Inflow{
		OwnSends:  len(e.sends),
		Entries:   len(p.entries),
		Upstreams: len(p.upstreams),
		HoldTime:  lendingHold,
		LoadAge:   lendingBooked,
	}
	if limited {
		inflow.Entries = 1
	}
	if limited && p.way.weighted {
		return p.byRoom(e)
	}
	first := p.random.IntN(len(p.upstreams))
	least, found := 0, 0
	for k := 0; k < len(p.upstreams) && found < 2; k++ {
		u := (first + k) % len(p.upstreams)
		e.since[u] = after(e.since[u], p.lastNews.at)
		n := p.lastNews.requests[u] + len(e.since[u])
		delay := time.Duration(float64(max(n+1-p.slots, 0)) / float64(p.slots) * float64(lendingHold))
		if delay+inflow.Delay(p.slots, p.slots-n) > lendingBooked {
			continue
		}
		if found == 0 || n < least {
			best, least = u, n
		}
		found++
	}
	return best, found > 0
}

// byRoom returns an upstream by chance, in proportion to its room.
func (p *lendingPlay) byRoom(e *lendingEntry) (upstream int, ok bool) {
	rooms, total := make([]float64, len(p.upstreams)), 0.0
	for u := range p.upstreams {
		e.since[u] = after(e.since[u], p.lastNews.at)
		rooms[u] = max(p.room(u)-float64(len(e.since[u])), 0)
		total += rooms[u]
	}
	at := p.random.Float64() * total
	for u, room := range rooms {
		if at -= room; at < 0 {
			return u, true
		}
	}
	return 0, false
}

func (p *lendingPlay) room(upstream int) float64 {
	u := lending.Upstream{
		Slots:    p.slots,
		Requests: float64(p.lastNews.requests[upstream]),
		HoldTime: lendingHold,
	}
	return max(u.Room(lendingBooked), 0)
}

// after returns the times after t.
func after(times []time.Time, t time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(t) {
		times = times[1:]
	}
	return times
}

func (p *lendingPlay) send(r *lendingRequest, upstream int) {
	r.sent = p.now
	u := p.upstreams[upstream]
	u.queue = append(u.queue, r)
	p.figures.sent++
	if beyond := len(u.queue) - (p.slots - len(u.running)); float64(beyond)*lendingHold.Seconds()/float64(p.slots) > lendingBooked.Seconds() {
		p.figures.booked++
	}
}

// ask queues a request at the owner of the less asked of two upstreams.
func (p *lendingPlay) ask(r *lendingRequest) {
	p.figures.sentMessages++
	a, b := p.upstreams[p.random.IntN(len(p.upstreams))], p.upstreams[p.random.IntN(len(p.upstreams))]
	if len(b.asks) < len(a.asks) {
		a = b
	}
	a.asks = append(a.asks, r)
}

// ownersGrant makes the owners hand out free slots. A grant, and the request after it, take a hop.
func (p *lendingPlay) ownersGrant() {
	for i, u := range p.upstreams {
		if p.now.Before(u.lost) {
			continue
		}
		for len(u.asks) > 0 && p.now.Sub(u.asks[0].arrived) > lendingBegin {
			u.asks = u.asks[1:]
		}
		for len(u.asks) > 0 && p.now.Sub(u.asks[0].arrived) >= lendingHop && len(u.running)+len(u.queue) < p.slots {
			r := u.asks[0]
			u.asks = u.asks[1:]
			p.figures.sentMessages += 2 // the grant, and the end
			if !p.entries[r.entry].dead {
				p.send(r, i)
			}
		}
	}
}

func (p *lendingPlay) begin() {
	for _, u := range p.upstreams {
		for len(u.queue) > 0 && len(u.running) < p.slots {
			r := u.queue[0]
			u.queue = u.queue[1:]
			e := p.entries[r.entry]
			waited := p.now.Sub(r.sent)
			e.window.End(admission.Begun{
				SentAt:   r.sent,
				Received: true,
				Waiting:  len(u.queue),
			}, p.now)
			p.figures.waits = append(p.figures.waits, waited)
			if p.now.Sub(r.arrived) <= lendingBegin && !e.dead {
				p.figures.inTime++
			}
			p.begun++
			r.ends = p.now.Add(time.Duration((0.5 + p.random.Float64()) * float64(lendingHold)))
			u.running = append(u.running, r)
		}
	}
}

// end ends what has run.
func (p *lendingPlay) end() {
	for _, u := range p.upstreams {
		kept := u.running[:0]
		for _, r := range u.running {
			if r.ends.After(p.now) {
				kept = append(kept, r)
			}
		}
		u.running = kept
	}
}

// count counts the slots that are idle in the shortage.
func (p *lendingPlay) count(short bool) {
	if !short {
		return
	}
	for _, u := range p.upstreams {
		p.figures.slotSteps += p.slots
		p.figures.idleSteps += p.slots - len(u.running)
	}
}
