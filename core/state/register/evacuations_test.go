package register_test

import (
	"maps"
	"slices"
	"testing"

	"persimmoncross/core/state/register"
)

func evacuate(dataCentre string, end bool) register.Command {
	return register.Command{
		Evacuate: &register.Evacuate{
			DataCentre: dataCentre,
			End:        end,
		},
	}
}

// Evacuations stand beside documents and upgrades, outlive a restart from a snapshot,
// and reach who is told the state without its document. An order that comes again
// changes nothing.
func TestEvacuations(t *testing.T) {
	l := &log{
		r: register.New(),
	}
	check := func(want ...string) {
		t.Helper()
		again := register.New()
		if err := again.Restore(l.r.Snapshot()); err != nil {
			t.Fatal(err)
		}
		head, err := register.Decode(register.EncodeHead(l.r.Current()))
		if err != nil {
			t.Fatal(err)
		}
		for what, s := range map[string]*register.State{
			"now":                l.r.Current(),
			"after a restart":    again.Current(),
			"without a document": head,
		} {
			if got := slices.Sorted(maps.Keys(s.Evacuations)); !slices.Equal(got, want) {
				t.Errorf("%s: %v, want %v", what, got, want)
			}
		}
	}
	l.apply(evacuate("a", true))
	check()
	l.apply(evacuate("a", false))
	check("a")
	l.apply(declare(5, "five"))
	s := l.r.Current()
	l.apply(evacuate("a", false))
	if l.r.Current() != s {
		t.Error("an order that came again makes a state")
	}
	l.apply(evacuate("b", false))
	l.apply(begin("v2"))
	check("a", "b")
	l.apply(evacuate("a", true))
	l.apply(evacuate("a", true))
	check("b")
	if s := l.r.Current(); s.Number != 5 || s.Upgrades["s"].Target != "v2" {
		t.Errorf("beside it: %+v", s)
	}
	l.apply(evacuate("a", false))
	l.apply(evacuate("b", true))
	check("a")
}

// TestLateOrders guards against an order that was given up taking effect after a later one was accepted.
func TestLateOrders(t *testing.T) {
	after := func(c register.Command, order uint64) register.Command {
		c.After = &order
		return c
	}
	l := &log{
		r: register.New(),
	}
	for n, tt := range []struct {
		command     register.Command
		after       uint64 // the last order that the proposer knew
		later       uint64 // the order that came in between; 0: none
		dataCentres []string
		target      string
	}{
		{evacuate("a", false), 0, 0, []string{"a"}, ""},
		{evacuate("a", true), 0, 1, []string{"a"}, ""},
		{evacuate("a", false), 1, 0, []string{"a"}, ""}, // changes nothing, and is the last order
		{evacuate("a", true), 1, 3, []string{"a"}, ""},
		{begin("v2"), 1, 3, []string{"a"}, ""},
		{begin("v2"), 3, 0, []string{"a"}, "v2"},
		{begin("v3"), 6, 0, []string{"a"}, "v3"},
		{begin("v2"), 6, 7, []string{"a"}, "v3"},
		{evacuate("b", false), 7, 0, []string{"a", "b"}, "v3"},
		{evacuate("a", true), 9, 0, []string{"b"}, "v3"},
		{evacuate("a", false), 9, 10, []string{"b"}, "v3"},
	} {
		result := l.apply(after(tt.command, tt.after))
		if later, ok := register.LaterOrder(result); later != tt.later || ok != (tt.later != 0) {
			t.Errorf("%d: result %q, want the later order %d", n+1, result, tt.later)
		}
		again := register.New()
		if err := again.Restore(l.r.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if again.Current().LastOrder != l.r.Current().LastOrder {
			t.Errorf("%d: a snapshot has the last order %d, want %d", n+1, again.Current().LastOrder, l.r.Current().LastOrder)
		}
		s := l.r.Current()
		if dataCentres := slices.Sorted(maps.Keys(s.Evacuations)); !slices.Equal(dataCentres, tt.dataCentres) || s.Upgrades["s"].Target != tt.target {
			t.Errorf("%d: evacuated %v, upgrade to %q, want %v and %q", n+1, dataCentres, s.Upgrades["s"].Target, tt.dataCentres, tt.target)
		}
	}
}
