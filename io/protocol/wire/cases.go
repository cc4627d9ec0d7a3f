package wire

import (
	"math"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// FromCases returns cases as they are sent.
func FromCases(cases []quarantine.Record, now time.Time) []*Case {
	list := make([]*Case, 0, len(cases))
	for _, c := range cases {
		x := &Case{
			Digest:  c.Digest[:],
			Service: c.Service,
			Whole:   uint32(c.Completed),
			Ran:     milliseconds(c.RunTime),
			Asked:   milliseconds(now.Sub(c.LastRequested)),
			Asker:   c.LastRequestedBy,
			Part:    c.Part,
		}
		for _, d := range c.InFlight {
			x.Flights = append(x.Flights, milliseconds(d))
			x.Ran += milliseconds(d)
		}
		if !c.TriedAt.IsZero() {
			x.Tried = milliseconds(now.Sub(c.TriedAt)) + 1
		}
		if !c.ClearedAt.IsZero() {
			x.Passed = true
			x.Cleared = milliseconds(now.Sub(c.ClearedAt))
		}
		for _, e := range c.Crashes {
			end := &End{
				Life:    e.InstanceID,
				Age:     milliseconds(now.Sub(e.At)),
				Ran:     milliseconds(e.RunTime),
				Request: e.Request,
				Rate:    uint32(math.Round(e.CrashRate * perMille)),
				Chance:  uint32(math.Round(e.CrashChance * perMille)),
			}
			if e.Unstarted {
				x.Waits = append(x.Waits, end)
			} else {
				x.Ends = append(x.Ends, end)
			}
		}
		list = append(list, x)
	}
	return list
}

const perMille = 1000

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

// Cases reads cases; one without a digest is left out.
func Cases(cases []*Case, now time.Time) []quarantine.Record {
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	list := make([]quarantine.Record, 0, len(cases))
	for _, x := range cases {
		c := quarantine.Record{
			Service:         x.GetService(),
			Completed:       int(x.GetWhole()),
			RunTime:         time.Duration(x.GetRan()) * time.Millisecond,
			LastRequested:   ago(x.GetAsked()),
			LastRequestedBy: x.GetAsker(),
			Part:            x.GetPart(),
		}
		for _, ms := range x.GetFlights() {
			d := time.Duration(ms) * time.Millisecond
			c.InFlight = append(c.InFlight, d)
			c.RunTime = max(c.RunTime-d, 0)
		}
		if x.GetTried() > 0 {
			c.TriedAt = ago(x.GetTried() - 1)
		}
		if x.GetPassed() {
			c.ClearedAt = ago(x.GetCleared())
		}
		if copy(c.Digest[:], x.GetDigest()) != len(c.Digest) {
			continue
		}
		for i, e := range slices.Concat(x.GetEnds(), x.GetWaits()) {
			c.Crashes = append(c.Crashes, quarantine.Crash{
				InstanceID: e.GetLife(),
				At:         ago(e.GetAge()),
				RunTime:    time.Duration(e.GetRan()) * time.Millisecond,
				Request:    e.GetRequest(),
				Unstarted:  i >= len(x.GetEnds()),

				CrashRate:   float64(e.GetRate()) / perMille,
				CrashChance: float64(e.GetChance()) / perMille,
			})
		}
		list = append(list, c)
	}
	return list
}

// FromHolds returns holds as they are sent.
func FromHolds(holds []persimmoncross.Quarantine) []*Hold {
	list := make([]*Hold, 0, len(holds))
	for _, h := range holds {
		list = append(list, &Hold{
			Digest:  h.Digest[:],
			Service: h.Service,
			Stage:   uint32(h.Stage),
			Trial:   h.TrialVM,
			Try:     uint32(h.TrialCount),
			Part:    h.Part,
		})
	}
	return list
}

// Holds reads holds; one without a digest is left out.
func Holds(holds []*Hold) []persimmoncross.Quarantine {
	list := make([]persimmoncross.Quarantine, 0, len(holds))
	for _, x := range holds {
		h := persimmoncross.Quarantine{
			Service:    x.GetService(),
			Stage:      persimmoncross.QuarantineStage(x.GetStage()),
			TrialVM:    x.GetTrial(),
			TrialCount: int(x.GetTry()),
			Part:       x.GetPart(),
		}
		if copy(h.Digest[:], x.GetDigest()) == len(h.Digest) {
			list = append(list, h)
		}
	}
	return list
}
