package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// registerLog applies commands to a register as the consensus log does.
type registerLog struct {
	register *register.Register
	index    uint64
}

func (l *registerLog) apply(c register.Command) {
	l.index++
	l.register.Apply(persimmoncross.Entry{
		Index: l.index,
		Data:  register.Encode(c),
	})
}

// Sessions that begin on the old version between the last report before a trial and the arrival
// of the trial at their entry would be moved by the other entries.
func TestSessionsBeginningBeforeTrialAreKept(t *testing.T) {
	clock := &settableClock{
		now: time.Unix(100, 0),
	}
	pub := newPublisher(clock)
	log := &registerLog{
		register: register.New(),
	}
	log.apply(register.Command{
		Begin: &register.Upgrade{
			Service:  "s",
			Target:   "v2",
			Duration: 24 * time.Second,
		},
	})
	collector := &sessionCollector{
		Sessions: &relay.Sessions{
			IdleTimeout: 8500 * time.Millisecond,
		},
		Share: 0.5,
	}
	begun := 0
	beginSessions := func() {
		for range 200 {
			collector.Sessions.BeginRun("s", fmt.Sprint("session", begun), "v1", clock.now)(clock.now)
			begun++
		}
	}
	report := func(upgrades map[string]register.Upgrade) int {
		a := &wire.Account{
			Vm:          "a",
			Incarnation: "1",
			Entry:       true,
			Recent:      collector.collect(upgrades, clock.now),
		}
		pub.receiveReport(a)
		n := 0
		for _, r := range a.GetRecent() {
			n += len(r.GetSessions())
		}
		return n
	}
	advanceToTrial := func() int {
		reports, _ := pub.currentReports(clock.now)
		u := log.register.Current().Upgrades["s"]
		sessions := sessionsToKeep(u, register.Trial, reports)
		log.apply(register.Command{
			Advance: &register.Advance{
				Service: u.Service,
				Order:   u.Order,
				Stage:   register.Trial,
				Kept:    sessions,
			},
		})
		return len(sessions)
	}
	beginSessions()
	reported := report(log.register.Current().Upgrades)
	beginSessions() // after the last report, before the trial
	if kept := advanceToTrial(); reported == 0 || kept != reported {
		t.Fatalf("the trial begins with %d kept sessions of %d reported", kept, reported)
	}
	clock.now = clock.now.Add(sessionReportInterval)
	late := report(log.register.Current().Upgrades)
	if kept := advanceToTrial(); late == 0 || kept != late {
		t.Errorf("%d sessions are added to the trial, want the %d reported late", kept, late)
	}
	if n := len(log.register.Current().Upgrades["s"].Kept); n != reported+late {
		t.Errorf("the trial keeps %d sessions, want %d and %d", n, reported, late)
	}
	clock.now = clock.now.Add(sessionReportInterval)
	if n := report(log.register.Current().Upgrades); n != 0 {
		t.Errorf("%d kept sessions are reported again", n)
	}
	if n := advanceToTrial(); n != 0 {
		t.Errorf("%d kept sessions are added again", n)
	}
	clock.now = clock.now.Add(lateSessionsDuration + time.Second)
	beginSessions() // runs that found no upstream of the new version
	if n := report(log.register.Current().Upgrades); n != 0 {
		t.Errorf("%d sessions are reported late in the trial, want none", n)
	}
}

// A change of the sessions is sent at the short interval, and only while sessions are collected.
func TestChangedSessionsAreSentAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	report := func(sessions ...uint64) *wire.Account {
		return &wire.Account{
			Vm:          "a",
			Incarnation: "1",
			Recent: []*wire.Recent{
				{
					Service:  "s",
					Order:    4,
					Sessions: sessions,
				},
			},
		}
	}
	sent := sentSessions{}
	if sent.record(&wire.Account{}, now) || sent.checkInterval(now) != reportInterval {
		t.Error("sessions are looked for at the short interval without an upgrade")
	}
	for i, tt := range []struct {
		sessions    []uint64
		wantChanged bool
	}{
		{[]uint64{1}, true},
		{[]uint64{1}, false},
		{[]uint64{1, 2}, true},
		{[]uint64{1, 2}, false},
	} {
		if changed := sent.record(report(tt.sessions...), now); changed != tt.wantChanged {
			t.Errorf("report %d: changed is %t, want %t", i, changed, tt.wantChanged)
		}
	}
	other := report(1, 2)
	other.Vm = "b"
	if !sent.record(other, now) {
		t.Error("the first report of another entry counts as sent")
	}
	if got := sent.checkInterval(now.Add(reportInterval)); got != sessionReportInterval {
		t.Errorf("the interval is %v while sessions are collected, want %v", got, sessionReportInterval)
	}
	if got := sent.checkInterval(now.Add(2 * reportInterval)); got != reportInterval {
		t.Errorf("the interval is %v after the collection, want %v", got, reportInterval)
	}
}

// The sessions of another upgrade or service are not kept, nor any outside of a trial.
func TestSessionsToKeep(t *testing.T) {
	u := register.Upgrade{
		Service: "s",
		Order:   4,
		Kept:    []uint64{7},
	}
	recent := func(service string, order uint64, sessions ...uint64) *wire.Recent {
		return &wire.Recent{
			Service:  service,
			Order:    order,
			Sessions: sessions,
		}
	}
	reports := []*wire.Account{
		{
			Recent: []*wire.Recent{recent("s", 4, 9, 7, 8), recent("s", 3, 1), recent("other", 4, 2)},
		},
		{
			Recent: []*wire.Recent{recent("s", 4, 8)},
		},
	}
	if got := sessionsToKeep(u, register.Trial, reports); !slices.Equal(got, []uint64{8, 9}) {
		t.Errorf("got %v, want 8 and 9", got)
	}
	for _, stage := range []register.Stage{register.Prepare, register.Shift, register.Completed, register.Withdrawn} {
		if got := sessionsToKeep(u, stage, reports); len(got) != 0 {
			t.Errorf("stage %s keeps %v, want none", stage, got)
		}
	}
}
