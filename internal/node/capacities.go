package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross/core/coordination/capacity"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// capacityRecordBytes is the size of an upstream's capacity in an update: its pace and the tokens
// held there.
const capacityRecordBytes = 2

// capacityMetricsInterval is the interval between updates of the gauges of paces and held tokens.
// They read the state of all upstreams.
const capacityMetricsInterval = 5 * time.Second

// maxReportedPace is the largest pace in a report, in percent. More is not encoded in updates.
const maxReportedPace = 1020

// addCapacity adds to a load what the entry reports of the upstream's capacity.
func addCapacity(x *wire.UpstreamLoad, l relay.EntryLoad) {
	if l.Reported != nil {
		x.Pace = uint32(min(max(l.Reported.Pace, 0), maxReportedPace))
	}
	x.Tokens = uint32(l.HeldTokens)
}

// currentPace returns the pace that the upstream reported within maxLoadAge, else 0. The caller
// holds mu.
func (a *loadAggregator) currentPace(id string, now time.Time) int {
	w, ok := a.reported[id]
	if !ok || now.Sub(w.reportedAt) > maxLoadAge {
		return 0
	}
	return int(w.pace)
}

// encodeCapacities returns the capacities of the upstreams whose records sparse has, nil if none
// is known. The caller holds mu.
func (a *loadAggregator) encodeCapacities(ids []string, sparse []byte, work map[string]upstreamWork, now time.Time) []byte {
	var encoded []byte
	known := false
	for i, id := range ids {
		if sparse[i/8]&(1<<(i%8)) != 0 {
			pace, held := capacity.EncodePace(a.currentPace(id, now)), capacity.EncodeHeld(work[id].tokens)
			encoded = append(encoded, pace, held)
			known = known || pace > 0 || held > 0
		}
	}
	if !known {
		return nil
	}
	return encoded
}

// decodeCapacities returns the capacities in an update, with the ages of the loads beside them.
// known has the sparse loads of the upstreams, and loads the records that they decode to. It
// returns nil if there are none, or if their number is not that of the known upstreams.
func decodeCapacities(ids []string, known, loads, encoded []byte) []relay.FleetCapacity {
	if len(encoded) == 0 || len(known) < (len(ids)+7)/8 || len(loads) != loadRecordBytes*len(ids) {
		return nil
	}
	var list []relay.FleetCapacity
	for i, id := range ids {
		if known[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if len(encoded) < capacityRecordBytes {
			return nil
		}
		c := relay.FleetCapacity{
			InstanceID: id,
			HeldTokens: int(capacity.DecodeHeld(encoded[1])),
		}
		if age := loads[loadRecordBytes*i+1]; age != unknownLoad {
			c.Pace = capacity.DecodePace(encoded[0])
			c.ReportAge = time.Duration(age) * loadTimeUnit
		}
		list = append(list, c)
		encoded = encoded[capacityRecordBytes:]
	}
	if len(encoded) > 0 {
		return nil
	}
	return list
}

// applyCapacities stores the capacities that the leader sent until applyFleetLoads applies the loads
// of the same update. A pace alone must not replace a reported load.
func (a *loadAggregator) applyCapacities(list []relay.FleetCapacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetTokens = map[string]uint64{}
	a.fleetPaces = map[string]uint16{}
	for _, c := range list {
		if c.HeldTokens > 0 {
			a.fleetTokens[c.InstanceID] = uint64(c.HeldTokens)
		}
		if c.Pace > 0 {
			a.fleetPaces[c.InstanceID] = uint16(min(c.Pace, maxReportedPace))
		}
	}
}

// applyCapacities applies the capacities of the whole fleet.
func (e *Entry) applyCapacities(list []relay.FleetCapacity) {
	if len(list) == 0 {
		return
	}
	e.pool.ApplyFleetCapacities(list)
	if !e.capacityMetricsDue() {
		return
	}
	for service, s := range e.pool.CapacitySummaries() {
		for name, value := range map[string]int{
			"pace.min":    s.MinPace,
			"pace.median": s.MedianPace,
			"pace.max":    s.MaxPace,
			"held.max":    s.MaxHeld,
		} {
			metrics.GetOrRegisterGauge("capacity."+service+"."+name, e.Metrics).Update(int64(value))
		}
	}
}

// capacityMetricsDue reports whether the gauges are to be updated now.
func (e *Entry) capacityMetricsDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if now.Sub(e.capacityMetricsAt) < capacityMetricsInterval {
		return false
	}
	e.capacityMetricsAt = now
	return true
}

// usePaces makes the pool use paces and held tokens where the part capacity is in force.
func (e *Entry) usePaces() {
	e.pool.CapacityEnabled = e.relay.CapacityEnabled
	e.pool.OnPaceChanged = e.relay.LogPaceChange
}
