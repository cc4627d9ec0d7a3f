package vm

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
)

// setClock is a clock that moves only when now is set.
type setClock struct{ now time.Time }

func (c *setClock) Now() time.Time                       { return c.now }
func (c *setClock) After(time.Duration) <-chan time.Time { return nil }

// TestSlowAnswerDoesNotMergeCrashes guards against a crashing request that is never found out: a
// VM that waited for the slowest answer dated all VMs' crashes by its receipt, so that two crashes in
// quick succession looked like one event.
func TestSlowAnswerDoesNotMergeCrashes(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	clock := &setClock{
		now: start,
	}
	v := &VM{
		Local: &settings.Local{
			Name: "vm-a",
		},
		Clock: clock,
		book: &quarantine.Recorder{
			VM: "vm-a",
		},
		keeper: &quarantine.Store{},
	}
	v.presence = &presence{
		vm: v,
	}
	var digest persimmoncross.Digest
	digest[0] = 1
	// Copies that are sent one after the other, through vm-b, vm-a and vm-c.
	const interval, runTime = 30 * time.Millisecond, 20 * time.Millisecond
	record := func(n int) quarantine.Record {
		return quarantine.Record{
			Digest:  digest,
			Service: "s",
			Crashes: []quarantine.Crash{{
				InstanceID: fmt.Sprint("engine-", n, "~x"),
				At:         start.Add(time.Duration(n) * interval),
				RunTime:    runTime,
			}},
			LastRequested: start,
		}
	}
	own := v.book.BeginRun(digest, "s", "engine-1~x", start.Add(interval-runTime))
	own.MarkDisconnected(start.Add(interval))
	v.book.InstanceExited("engine-1~x", start.Add(interval))
	answer := func(name string, delay time.Duration, records ...quarantine.Record) *wire.Status {
		s := &wire.Status{
			Vm:          name,
			Incarnation: "1",
			Time:        clock.now.UnixNano(),
			Cases:       wire.FromCases(records, clock.now),
		}
		v.presence.record(s, clock.now.Add(delay))
		return s
	}
	answer("vm-b", time.Millisecond)
	for range 3 {
		clock.now = clock.now.Add(presenceEvery)
		answers := []*wire.Status{
			answer("vm-b", 41*time.Millisecond, record(0)),
			answer("vm-c", time.Millisecond, record(2)),
		}
		v.judgeHolds(answers)
	}
	if stage := v.keeper.Quarantine(digest).Stage; stage != persimmoncross.QuarantineRefuse {
		t.Errorf("%v after three crashes, want refuse", stage)
	}
}
