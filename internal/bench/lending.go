package bench

import (
	"fmt"
	"time"
)

// The lending experiment: many entries before upstreams that are asked for more than they can run.
// Loads and sums are taken every lendingReport and used a way later.
const (
	lendingStep    = 10 * time.Millisecond
	lendingReport  = 250 * time.Millisecond
	lendingWay     = 250 * time.Millisecond
	lendingHold    = 2 * time.Second // mean; uniform from half of it to one and a half
	lendingBegin   = 3 * time.Second // a request that has not begun by then can't end in time
	lendingBooked  = 500 * time.Millisecond
	lendingCalm    = 4 * time.Second
	lendingShort   = 12 * time.Second
	lendingHop     = 10 * time.Millisecond // from entry to entry, to the next step
	lendingLost    = 1500 * time.Millisecond
	lendingMessage = 60 // bytes of a message to an owner, with framing
)

type lendingCase struct{}

func (lendingCase) Name() string { return "lending" }

// lendingWayOf is a way of deciding.
type lendingWayOf struct {
	name     string
	credits  bool
	window   bool // admission.Window
	owner    bool
	weighted bool // the upstream is chosen in proportion to its room
}

// lendingFailure is what goes wrong in the middle of the shortage.
type lendingFailure struct {
	name     string
	late     time.Duration // news come later by this
	deaf     int           // one of so many entries gets no news; 0: none
	death    bool          // a tenth of the entries dies with what waits there
	leader   bool          // no news for lendingLost
	ownerDie bool          // a tenth of the owners are lost for lendingLost
}

func (lendingCase) Run(seed uint64, scale int) Result {
	ways := []lendingWayOf{
		{name: "alone", window: true},
		{name: "credits", credits: true},
		{name: "credits by room", credits: true, weighted: true},
		{name: "by room, window", credits: true, weighted: true, window: true},
		{name: "owner", owner: true},
	}
	result := Result{
		Case: "lending",
		Text: "Entries before upstreams that are asked for 0.8, then 2, then 0.8 times what they can run; loads and sums are 0.25 to 0.5 s old.",
	}
	columns := []string{"overbooked %", "wait p50 ms", "wait p95 ms", "idle %", "served %", "messages/s", "KB/s an entry"}
	for _, site := range []struct{ entries, upstreams, slots int }{{90, 89, 12}, {67, 60, 64}, {380, 89, 12}, {20, 3, 6}} {
		table := Table{
			Title:   fmt.Sprintf("%d entries, %d upstreams of %d slots", site.entries, site.upstreams, site.slots),
			Columns: columns,
		}
		byWay := map[string]lendingFigures{}
		for _, w := range ways {
			p := newLendingPlay(site.entries, site.upstreams, site.slots, w, lendingFailure{}, seed)
			f := p.run(scale)
			byWay[w.name] = f
			table.Rows = append(table.Rows, Row{
				Name:   w.name,
				Values: f.values(),
			})
		}
		result.Tables = append(result.Tables, table)
		result.Bounds = append(result.Bounds, Bound{
			Name:  fmt.Sprintf("%d entries, %d upstreams of %d: sent to a full upstream with credits, %%", site.entries, site.upstreams, site.slots),
			Value: byWay["credits"].overbooked,
			Most:  byWay["alone"].overbooked,
		})
	}
	table := Table{
		Title:   "failures, 90 entries, 89 upstreams of 12 slots",
		Columns: columns,
	}
	for _, f := range []lendingFailure{
		{name: "news late by 1 s", late: time.Second},
		{name: "half without news", deaf: 2},
		{name: "entries die with credits", death: true},
		{name: "leader lost", leader: true},
		{name: "owners lost", ownerDie: true},
	} {
		for _, w := range ways {
			if f.ownerDie && !w.owner {
				continue
			}
			table.Rows = append(table.Rows, Row{
				Name:   f.name + ": " + w.name,
				Values: newLendingPlay(90, 89, 12, w, f, seed).run(scale).values(),
			})
		}
	}
	result.Tables = append(result.Tables, table)
	return result
}
