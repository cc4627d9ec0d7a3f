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
	hold := func(n int, s persimmoncross.HoldStage) persimmoncross.Hold {
		return persimmoncross.Hold{
			Digest:  persimmoncross.Digest{byte(n), byte(n >> 8)},
			Service: "s",
			Stage:   s,
		}
	}
	index := uint64(0)
	apply := func(holds ...persimmoncross.Hold) {
		index++
		r.Apply(persimmoncross.Entry{
			Index: index,
			Data: Encode(Command{
				Holds: holds,
			}),
		})
	}
	apply(hold(1, persimmoncross.HoldWatch), hold(2, persimmoncross.HoldRefuse))
	apply(hold(1, persimmoncross.HoldFree))
	s := r.Current()
	if len(s.Holds) != 1 || s.Holds[hold(2, 0).Digest].Stage != persimmoncross.HoldRefuse || s.Held != 2 {
		t.Fatalf("%+v", s)
	}
	apply(hold(1, persimmoncross.HoldFree))
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
		apply(hold(n+3, persimmoncross.HoldRefuse))
	}
	if n := len(r.Current().Holds); n != mostHolds {
		t.Errorf("%d holds", n)
	}
	apply(persimmoncross.Hold{
		Digest:  hold(2, 0).Digest,
		Service: "s",
		Stage:   persimmoncross.HoldRefuse,
		Trial:   "vm",
		Try:     1,
	})
	if got := r.Current().Holds[hold(2, 0).Digest]; got.Trial != "vm" {
		t.Errorf("at the bound one that is held can't change: %+v", got)
	}
}
