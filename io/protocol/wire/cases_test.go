package wire

import (
	"reflect"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

func TestCasesRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	want := []quarantine.Record{{
		Digest:  persimmoncross.Digest{1},
		Part:    true,
		Service: "s",
		Crashes: []quarantine.Crash{{
			InstanceID: "u",
			At:         now.Add(-time.Second),
			RunTime:    20 * time.Millisecond,
			Request:    7,
		}, {
			InstanceID: "v",
			At:         now.Add(-2 * time.Second),
			RunTime:    30 * time.Millisecond,
			Request:    8,
			Unstarted:  true,

			CrashRate:   0.25,
			CrashChance: 0.125,
		}},
		Completed:       3,
		RunTime:         time.Second,
		InFlight:        []time.Duration{2 * time.Second},
		LastRequested:   now.Add(-time.Minute),
		LastRequestedBy: "vm",
		TriedAt:         now,
		ClearedAt:       now.Add(-time.Millisecond),
	}}
	if got := Cases(FromCases(want, now), now); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
