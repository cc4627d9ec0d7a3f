package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"persimmoncross/internal/standin"
)

// One data centre is evacuated: once the order is in force, nothing begins at its
// upstreams at any VM, also after all VMs have started again, until the order ends. The
// same order again changes nothing, and one on a data centre without upstreams is
// refused.
func TestEvacuate(t *testing.T) {
	f := startProcesses(t)
	names := f.Names()
	if _, err := f.Evacuate(t.Context(), names[0], "hall-9", false, "no such"); err == nil {
		t.Error("a data centre without upstreams is evacuated")
	}
	first, err := f.Evacuate(t.Context(), names[0], "hall-2", false, "drill")
	if err != nil || len(first.Waiting) > 0 {
		t.Fatalf("%+v, %v", first, err)
	}
	if again, err := f.Evacuate(t.Context(), names[1], "hall-2", false, "drill"); err != nil || again.Revision != first.Revision {
		t.Errorf("sent again: %+v, %v", again, err)
	}
	call := func(n string, i int) Reply {
		return f.must(t, Call{
			VM:     n,
			Key:    RelayKey,
			Model:  "small@1",
			Text:   fmt.Sprint("x", i),
			Tokens: 1,
		})
	}
	check := func(when string, want bool) {
		t.Helper()
		began := time.Now()
		for i := range 60 {
			if r := call(names[i%len(names)], i); !r.Whole {
				t.Fatalf("%s: %+v", when, r)
			}
		}
		engine := f.Engines["engine-2"]
		used := slices.ContainsFunc(engine.Book.Runs(), func(r standin.Run) bool { return r.Began.After(began) })
		if used != want {
			t.Errorf("%s: its engine ran something: %v", when, used)
		}
	}
	check("evacuated", false)
	status, err := f.Status(t.Context(), names[2])
	if err != nil || !slices.Equal(status.Evacuated, []string{"hall-2"}) {
		t.Errorf("status: %v, %v", status.Evacuated, err)
	}
	for _, n := range names {
		if err := f.Kill(n); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range names {
		f.Launch(n)
	}
	for _, n := range names {
		if err := f.AwaitReady(t.Context(), n); err != nil {
			t.Fatal(err)
		}
	}
	check("after a start of all", false)
	if _, err := f.Evacuate(t.Context(), names[1], "hall-2", true, "over"); err != nil {
		t.Fatal(err)
	}
	check("taken back", true)
}
