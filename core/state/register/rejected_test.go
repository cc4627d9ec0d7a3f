package register

import (
	"fmt"
	"slices"
	"testing"

	"persimmoncross"
)

// Guards against a version that gets requests again once the next upgrade replaces the state of its own: it was
// withdrawn, or given up before it had shown itself. An order for it lets it be tried again.
func TestUpgradeRemembersRejectedVersions(t *testing.T) {
	for _, tt := range []struct {
		stage Stage
		want  string
	}{
		{Prepare, "[v2]"},
		{Trial, "[v2]"},
		{Shift, "[]"},
		{Completed, "[]"},
		{Withdrawn, "[v2]"},
	} {
		r := New()
		index := uint64(0)
		apply := func(c Command) {
			index++
			r.Apply(persimmoncross.Entry{
				Index: index,
				Data:  Encode(c),
			})
		}
		begin := func(target string) {
			apply(Command{
				Begin: &Upgrade{
					Service:  "s",
					Target:   target,
					Rejected: []string{"v1"}, // an order names none
				},
			})
		}
		begin("v2")
		apply(Command{
			Advance: &Advance{
				Service: "s",
				Order:   index,
				Stage:   tt.stage,
			},
		})
		begin("v3")
		if got := fmt.Sprint(r.Current().Upgrades["s"].Rejected); got != tt.want {
			t.Errorf("%s: rejected %s, want %s", tt.stage, got, tt.want)
		}
		kept, err := Decode(r.Snapshot())
		if err != nil || fmt.Sprint(kept.Upgrades["s"].Rejected) != tt.want {
			t.Errorf("%s: a snapshot holds %v, %v", tt.stage, kept, err)
		}
		begin("v2")
		if got := r.Current().Upgrades["s"].Rejected; !slices.Equal(got, []string{"v3"}) {
			t.Errorf("%s: rejected %v while v2 is tried again, want v3", tt.stage, got)
		}
		for n := range 3 * maxRejected {
			begin(fmt.Sprint("v", n+10))
		}
		if got := r.Current().Upgrades["s"].Rejected; len(got) != maxRejected || got[maxRejected-1] != fmt.Sprint("v", 3*maxRejected+8) {
			t.Errorf("%s: %d versions are rejected, the last %v", tt.stage, len(got), got)
		}
	}
}
