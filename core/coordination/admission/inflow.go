package admission

import "time"

// Inflow describes the requests that were sent to a service's upstreams since their loads were
// reported.
type Inflow struct {
	OwnSends  int           // requests that this entry has sent since
	Entries   int           // entries that send requests to the upstreams
	Upstreams int           // upstreams that get the requests
	HoldTime  time.Duration // mean time for which a request holds a slot
	LoadAge   time.Duration // age of the loads
}

// Delay estimates by how much the requests of the other entries, which the loads don't show yet,
// delay the begin of a request at an upstream with the given numbers of slots and of free slots. The
// other entries see the same loads, so they are expected to send as much as this one. The upstream
// has worked meanwhile, so only what exceeds its own pace and its free slots counts.
func (i Inflow) Delay(slots, free int) time.Duration {
	sent := float64(i.OwnSends)*float64(max(i.Entries-1, 0))/float64(max(i.Upstreams, 1)) - float64(max(free, 0))
	return max(time.Duration(sent/float64(max(slots, 1))*float64(i.HoldTime))-i.LoadAge, 0)
}
