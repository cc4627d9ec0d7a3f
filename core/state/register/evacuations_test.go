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
