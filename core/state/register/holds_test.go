package register

import (
	"maps"
	"testing"

	"persimmoncross"
)

// Holds outlive a restart from a snapshot, end when they are told to, and stay
// within their bound, whoever proposes how many.
func TestHolds(t *testing.T) {
	r := New()
	hold := func(n int, s persimmoncross.QuarantineStage) persimmoncross.Quarantine {
		return persimmoncross.Quarantine{
			Digest:  persimmoncross.Digest{byte(n), byte(n >> 8)},
			Service: "s",
			Stage:   s,
		}
	}
	index := uint64(0)
	apply := func(holds ...persimmoncross.Quarantine) {
		index++
		r.Apply(persimmoncross.Entry{
			Index: index,
			Data: Encode(Command{
				Holds: holds,
			}),
		})
	}
	apply(hold(1, persimmoncross.QuarantineIsolate), hold(2, persimmoncross.QuarantineRefuse))
	apply(hold(1, persimmoncross.QuarantineNone))
	s := r.Current()
	if len(s.Holds) != 1 || s.Holds[hold(2, 0).Digest].Stage != persimmoncross.QuarantineRefuse || s.Held != 2 {
		t.Fatalf("%+v", s)
	}
	apply(hold(1, persimmoncross.QuarantineNone))
	if r.Current() != s {
		t.Error("what changes nothing makes a state")
	}
	again := New()
	if err := again.Restore(r.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got := again.Current(); !maps.Equal(got.Holds, s.Holds) || got.Held != s.Held {
		t.Errorf("restored %+v", got)
	}
	for n := range 2 * mostHolds {
		apply(hold(n+3, persimmoncross.QuarantineRefuse))
	}
	if n := len(r.Current().Holds); n != mostHolds {
		t.Errorf("%d holds", n)
	}
	apply(persimmoncross.Quarantine{
		Digest:     hold(2, 0).Digest,
		Service:    "s",
		Stage:      persimmoncross.QuarantineRefuse,
		TrialVM:    "vm",
		TrialCount: 1,
	})
	if got := r.Current().Holds[hold(2, 0).Digest]; got.TrialVM != "vm" {
		t.Errorf("at the bound one that is held can't change: %+v", got)
	}
}
