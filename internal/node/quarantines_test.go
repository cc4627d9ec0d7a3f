package node

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

func testDigest(n int) persimmoncross.Digest { return persimmoncross.Digest{byte(n), byte(n >> 8), 1} }

// TestQuarantinesReachFollowers checks that after each change a follower has the quarantines in
// force, that these are sent in updates of a bounded size, and that nothing is sent without a
// change.
func TestQuarantinesReachFollowers(t *testing.T) {
	s := &register.State{}
	sender, receiver := &sentQuarantines{}, &controllerStream{}
	var got map[persimmoncross.Digest]persimmoncross.Quarantine
	send := func() {
		for range 100 {
			u := &wire.Update{}
			complete := sender.addChanges(u, s)
			if len(u.GetHolds()) > maxQuarantinesPerMessage {
				t.Fatalf("%d quarantines in an update", len(u.GetHolds()))
			}
			if received := receiver.applyQuarantines(u); received != nil {
				got = received
			}
			if complete {
				return
			}
		}
		t.Fatal("the quarantines are not complete after 100 updates")
	}
	for step, n := range []int{1, 300, 299, 5, 0, 64, 128} {
		holds := map[persimmoncross.Digest]persimmoncross.Quarantine{}
		for i := range n {
			holds[testDigest(i*(step+1))] = persimmoncross.Quarantine{
				Digest:     testDigest(i * (step + 1)),
				Service:    "s",
				Stage:      persimmoncross.QuarantineStage(1 + i%2),
				TrialVM:    fmt.Sprint(i % 3),
				TrialCount: i,
			}
		}
		s = &register.State{
			Holds: holds,
			Held:  uint64(step + 1),
		}
		send()
		if !maps.Equal(got, holds) {
			t.Fatalf("step %d: the follower has %d quarantines, want %d", step, len(got), len(holds))
		}
	}
	u := &wire.Update{}
	if !sender.addChanges(u, s) || len(u.GetHolds()) > 0 || u.GetHeld() != 0 {
		t.Errorf("%+v", u)
	}
}

// TestCaseAggregator checks that an aggregator merges the records of all reporters, including those
// that are gone, that it drops records once they are stale, and that it bounds the records of one
// reporter.
func TestCaseAggregator(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := &settableClock{
		now: now,
	}
	b := &caseAggregator{}
	report := func(reporter string, n int, instanceID string) {
		b.receive(reporter, wire.FromCases([]quarantine.Record{{
			Digest:  testDigest(n),
			Service: "s",
			Crashes: []quarantine.Crash{{
				InstanceID: instanceID,
				At:         clock.now.Add(-time.Second),
				RunTime:    20 * time.Millisecond,
			}},
			LastRequested: clock.now,
		}}, clock.now), clock.now, clock.now)
	}
	for i, sender := range []string{"a#1", "a#2", "b#1"} {
		report(sender, 1, fmt.Sprint("life", i))
	}
	report("c#1", 1, "life0") // the same crash, reported by another entry
	cases, version := b.mergedSince(0, now)
	if len(cases) != 1 || len(cases[0].Crashes) != 3 || cases[0].Digest != testDigest(1) {
		t.Fatalf("%+v", cases)
	}
	if more, _ := b.mergedSince(version, now); len(more) != 0 {
		t.Errorf("records without changes were returned again: %+v", more)
	}
	for n := range 2 * maxCasesPerReporter {
		report("d#1", n+10, "x")
	}
	if n := len(b.byReporter["d#1"]); n != maxCasesPerReporter {
		t.Errorf("%d records of one reporter", n)
	}
	clock.now = now.Add(time.Hour)
	if cases, _ := b.mergedSince(0, clock.now); len(cases) != 0 || len(b.byReporter) != 0 {
		t.Errorf("after an hour %d records are left, want none", len(cases))
	}
}

// TestDelayedReportsDoNotMergeCrashes guards against a crashing request that is never found out:
// reports delayed by tens of milliseconds made two crashes in quick succession look like one event.
func TestDelayedReportsDoNotMergeCrashes(t *testing.T) {
	const interval = 35 * time.Millisecond // from one crash to the next, by copies sent one after the other
	for _, test := range []struct {
		name   string
		delays [3]time.Duration // of each entry's report of its crash
		later  time.Duration    // delay of the reports after it
		warm   bool             // reports without cases came before
	}{
		{
			name:   "the first crash is reported late",
			delays: [3]time.Duration{60 * time.Millisecond, 0, 0},
			warm:   true,
		},
		{
			name:   "two crashes are reported late",
			delays: [3]time.Duration{40 * time.Millisecond, 90 * time.Millisecond, time.Millisecond},
			warm:   true,
		},
		{
			name:   "the reports of the crashes are the first",
			delays: [3]time.Duration{80 * time.Millisecond, 30 * time.Millisecond, 0},
			later:  time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			now := start
			cases := &caseAggregator{}
			var senders []*reportSender
			var startedAt []time.Time
			for i := range test.delays {
				senders = append(senders, &reportSender{
					cases: cases,
					vm:    fmt.Sprint("e", i),

					incrementCounter: func(string) {},
				})
				startedAt = append(startedAt, start.Add(-time.Duration(i+1)*time.Hour))
			}
			send := func(i int, list []quarantine.Record, sentAt time.Time, delay time.Duration) {
				senders[i].receive(&wire.Account{
					Incarnation: "1",
					Reading:     uint64(sentAt.Sub(startedAt[i]).Microseconds()),
					Cases:       wire.FromCases(list, sentAt),
				}, sentAt.Add(delay))
			}
			if test.warm {
				for n := range 4 {
					for i := range senders {
						send(i, nil, now, time.Duration(1+n*n*7)*time.Millisecond)
					}
					now = now.Add(250 * time.Millisecond)
				}
			}
			reportedAt := now.Add(time.Second)
			for i, delay := range test.delays {
				crashedAt := now.Add(time.Duration(i) * interval)
				send(i, []quarantine.Record{{
					Digest:  testDigest(1),
					Service: "s",
					Crashes: []quarantine.Crash{{
						InstanceID: fmt.Sprint("u", i),
						At:         crashedAt,
						RunTime:    interval - 10*time.Millisecond,
					}},
					LastRequested: crashedAt,
				}}, reportedAt, delay)
			}
			now = reportedAt.Add(250 * time.Millisecond)
			for i := range senders {
				send(i, nil, now, test.later)
			}
			merged, _ := cases.mergedSince(0, now)
			store := &quarantine.Store{}
			store.Evaluate(merged, now)
			store.Evaluate(merged, now.Add(time.Second))
			if stage := store.Quarantine(testDigest(1)).Stage; stage != persimmoncross.QuarantineRefuse {
				t.Errorf("%v after three crashes, want refuse; crashes %v", stage, merged[0].Crashes)
			}
		})
	}
}

// TestCorrectionsConcernLateReportsOnly guards against crashes that are dated ever earlier: a report that came
// at once was moved with later ones each time that the estimate of the delay had risen and fell again.
func TestCorrectionsConcernLateReportsOnly(t *testing.T) {
	clock := &settableClock{
		now: time.Unix(1000, 0),
	}
	startedAt := clock.now.Add(-time.Hour)
	cases := &caseAggregator{}
	sender := &reportSender{
		cases: cases,
		vm:    "e",

		incrementCounter: func(string) {},
	}
	send := func(delay time.Duration, list ...quarantine.Record) {
		sentAt := clock.now
		clock.now = clock.now.Add(delay)
		sender.receive(&wire.Account{
			Incarnation: "1",
			Reading:     uint64(sentAt.Sub(startedAt).Microseconds()),
			Cases:       wire.FromCases(list, sentAt),
		}, clock.now)
	}
	crashedAt := clock.now.Add(-time.Second)
	send(time.Millisecond, quarantine.Record{
		Digest:  testDigest(1),
		Service: "s",
		Crashes: []quarantine.Crash{{
			InstanceID: "u",
			At:         crashedAt,
		}},
		LastRequested: crashedAt,
	})
	for range 4 {
		for range 50 { // slow reports only, so that the estimate rises
			clock.now = clock.now.Add(time.Second)
			send(20 * time.Millisecond)
		}
		clock.now = clock.now.Add(5 * time.Second)
		send(1500 * time.Millisecond)
		clock.now = clock.now.Add(time.Second)
		send(time.Millisecond)
	}
	merged, _ := cases.mergedSince(0, clock.now)
	if lateness := merged[0].Crashes[0].At.Sub(crashedAt); lateness < 0 || lateness > 3*time.Millisecond {
		t.Errorf("the crash is dated %v late, want between 0 and 3ms", lateness)
	}
}

// settableClock is a clock that moves only when now is set.
type settableClock struct{ now time.Time }

func (c *settableClock) Now() time.Time                       { return c.now }
func (c *settableClock) After(time.Duration) <-chan time.Time { return nil }
