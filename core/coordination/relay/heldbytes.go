package relay

import (
	"math/rand/v2"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/buffers"
	"persimmoncross/core/coordination/retry"
)

// requestOverhead is what an entry holds for a request beside its body, in bytes: the buffers of
// both connections, headers and the stacks of its goroutines.
const requestOverhead = 32 << 10

// unauthenticatedRank is the rank of a request whose route or organisation is not known. All known
// ranks are more urgent.
const unauthenticatedRank = 1 << 10

// HeldBytes counts the bytes that this entry holds against Config.Overload.MaxHeldBytes. The
// exported fields are set before use.
type HeldBytes struct {
	Clock   persimmoncross.Clock
	Metrics metrics.Registry
	Log     zerolog.Logger

	mu       sync.Mutex // guards all below
	budget   buffers.Budget
	pressure buffers.Pressure
	gauges   map[buffers.Kind]metrics.Gauge
	peak     int64 // most bytes held since the start
}

// NewHeldBytes returns a count of held bytes with the given limit.
func NewHeldBytes(limit int64, clock persimmoncross.Clock, registry metrics.Registry, log zerolog.Logger) *HeldBytes {
	h := &HeldBytes{
		Clock:   clock,
		Metrics: registry,
		Log:     log,
		budget: buffers.Budget{
			Limit: limit,
		},
		gauges: map[buffers.Kind]metrics.Gauge{},
	}
	for _, kind := range buffers.Kinds() {
		h.gauges[kind] = h.gauge(kind.String())
	}
	h.gauge("limit").Update(limit)
	return h
}

func (h *HeldBytes) gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge("relay.held."+name, h.Metrics)
}

// Reserve counts bytes that another part holds for new work of the rank; 0 is the most urgent. It
// returns false if they would exceed the limit for that rank. The caller calls release once; more
// calls do nothing.
func (h *HeldBytes) Reserve(bytes int64, rank int) (release func(), ok bool) {
	if !h.reserve(buffers.Others, bytes, rank) {
		return func() {}, false
	}
	return sync.OnceFunc(func() { h.add(buffers.Others, -bytes) }), true
}

// reserve counts bytes of new work, unless they would exceed the limit for the rank.
func (h *HeldBytes) reserve(kind buffers.Kind, bytes int64, rank int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.budget.Reserve(kind, bytes, rank) {
		return false
	}
	h.updated(kind)
	return true
}

// fits reports whether bytes of new work are within the limit for the rank.
func (h *HeldBytes) fits(bytes int64, rank int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Fits(bytes, rank)
}

// add counts bytes of work that runs, negative ones to release them.
func (h *HeldBytes) add(kind buffers.Kind, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Add(kind, bytes)
	h.updated(kind)
}

// updated updates the metrics. The caller holds mu.
func (h *HeldBytes) updated(kind buffers.Kind) {
	h.gauges[kind].Update(h.budget.Held(kind))
	if total := h.budget.Total(); total > h.peak {
		h.peak = total
		h.gauge("peak").Update(total)
	}
}

// Total returns the bytes held.
func (h *HeldBytes) Total() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Total()
}

// recordRefusal counts and logs a request that was refused because of the bytes held.
func (h *HeldBytes) recordRefusal(request string, bytes int64, rank int) {
	metrics.GetOrRegisterCounter("relay.refused.memory", h.Metrics).Inc(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	event := h.Log.Info().Str("request", request).Int64("bytes", bytes).Int("rank", rank).Int64("held", h.budget.Total()).Int64("limit", h.budget.LimitOf(rank))
	for _, kind := range buffers.Kinds() {
		event.Int64(kind.String(), h.budget.Held(kind))
	}
	event.Msg("request refused: too many bytes are held")
}

// HasRoom reports whether callers should use this entry: it has not held nearly all bytes that it
// may hold for a while. It is asked about once a second.
func (h *HeldBytes) HasRoom() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	away, changed := h.pressure.Update(h.budget.Total(), h.budget.Limit, h.Clock.Now())
	if changed {
		h.Log.Warn().Bool("ready", !away).Int64("held", h.budget.Total()).Int64("limit", h.budget.Limit).Msg("readiness changed: bytes are held")
	}
	if away {
		metrics.GetOrRegisterCounter("ready.not.memory", h.Metrics).Inc(1)
	}
	return !away
}

// HasRoom reports whether callers should use this entry; see [HeldBytes.HasRoom].
func (r *Relay) HasRoom() bool {
	return r.HeldBytes == nil || !r.overloadEnabled(persimmoncross.OverloadBuffers, "") || r.HeldBytes.HasRoom()
}

// HeldRequest is a request whose bytes are counted. A nil HeldRequest counts nothing.
type HeldRequest struct {
	relay   *Relay
	request *persimmoncross.ProxyRequest
	rank    int
	// makeRoom ends another request that holds bytes and was not read whole yet, and reports whether there was one.
	makeRoom func() bool

	mu    sync.Mutex // guards bytes
	bytes int64
}

// HoldRequest begins to count the bytes of a request before its body is read, which Grow counts while it arrives. The
// size of the body is -1 if it is not known yet. It returns nil and no refusal if bytes are not counted, and a refusal if
// the request must not be read. Where bytes are short, makeRoom ends another request that was not read whole yet, and
// reports whether there was one. The caller calls Release when the request has ended.
func (r *Relay) HoldRequest(p *persimmoncross.ProxyRequest, size int64, makeRoom func() bool) (*HeldRequest, *persimmoncross.Refusal) {
	if r.HeldBytes == nil || !r.overloadEnabled(persimmoncross.OverloadBuffers, "") {
		return nil, nil
	}
	q := &HeldRequest{
		relay:   r,
		request: p,
		rank:    r.rankOf(p),

		makeRoom: makeRoom,
	}
	bytes := requestOverhead + max(size, 0)
	for !r.HeldBytes.fits(bytes, q.rank) {
		if !makeRoom() {
			return nil, r.refuseHeld(p, bytes, q.rank)
		}
	}
	if refusal := q.Grow(requestOverhead); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// rankOf returns how urgent a request is that was not checked yet.
func (r *Relay) rankOf(p *persimmoncross.ProxyRequest) int {
	v := r.View()
	if v == nil || v.Catalog == nil {
		return unauthenticatedRank
	}
	route, organisation, refusal := v.authorize(p)
	if refusal != nil {
		return unauthenticatedRank
	}
	return v.Catalog.Rank(route, organisation)
}

// Grow counts more bytes of the request, before they are read. It returns a refusal if they would
// exceed the limit for its rank; the request has not run then.
func (q *HeldRequest) Grow(bytes int64) *persimmoncross.Refusal {
	if q == nil {
		return nil
	}
	r := q.relay
	for !r.HeldBytes.reserve(buffers.Requests, bytes, q.rank) {
		if !q.makeRoom() {
			return r.refuseHeld(q.request, bytes, q.rank)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes += bytes
	return nil
}

// Release releases the bytes of the request.
func (q *HeldRequest) Release() {
	if q == nil {
		return
	}
	q.mu.Lock()
	bytes := q.bytes
	q.bytes = 0
	q.mu.Unlock()
	if bytes != 0 {
		q.relay.HeldBytes.add(buffers.Requests, -bytes)
	}
}

// heldBytesOutage is the key of the outage in which requests are refused because of the bytes held.
// No service has this name, because names have no spaces.
const heldBytesOutage = "held bytes"

// refuseHeld returns the refusal for a request whose bytes would exceed the limit for its rank.
func (r *Relay) refuseHeld(p *persimmoncross.ProxyRequest, bytes int64, rank int) *persimmoncross.Refusal {
	r.HeldBytes.recordRefusal(p.ID, bytes, rank)
	return r.refuseBytes(p)
}

// RefuseBody returns the refusal of a request whose body has no room. Nothing of the request has run.
func (r *Relay) RefuseBody(p *persimmoncross.ProxyRequest) *persimmoncross.Refusal {
	r.logEvent(p).Msg("request refused: too many bytes are held for bodies")
	return r.refuseBytes(p)
}

func (r *Relay) refuseBytes(p *persimmoncross.ProxyRequest) *persimmoncross.Refusal {
	hint := retry.RetryAfter{
		OutageAge: r.recordRefusal(heldBytesOutage, p.ArrivedAt),
	}
	if !p.Deadline.IsZero() {
		hint.UntilDeadline = p.Deadline.Sub(r.Clock.Now())
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "this VM holds too many bytes for callers").WithRetryAfter(hint.Delay(rand.Float64()))
}
