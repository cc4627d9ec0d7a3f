package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
)

func manyUpstreams(n int) []persimmoncross.Upstream {
	var list []persimmoncross.Upstream
	for i := range n {
		list = append(list, persimmoncross.Upstream{
			Incarnation: fmt.Sprintf("i-%08x", i*2654435761),
			Service:     "service",
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
			DataCentre:  "hall-1",
			Version:     "v1",
			Slots:       16,
			Models:      []string{"model-one", "model-two"},
		})
	}
	return list
}

// listFollower returns a follower that keeps the list which it is told.
func listFollower(got *[]persimmoncross.Upstream) *follower {
	return &follower{
		Metrics: metrics.NewRegistry(),
		Take: func(u *wire.Update) bool {
			if u.GetListed() {
				*got = upstreamsOf(u)
			}
			return true
		},
	}
}

// A follower that goes to another controller ends up with that one's list, whatever it
// held, and is sent little where the lists are alike.
func TestListToOneThatHoldsAnother(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 40 {
		held := manyUpstreams(1 + random.IntN(600))
		next := slices.Clone(held)
		changes := random.IntN(4)
		for range changes {
			switch i := random.IntN(len(next)); random.IntN(4) {
			case 0:
				next = slices.Delete(next, i, i+1)
				if len(next) == 0 {
					next = manyUpstreams(1)
				}
			case 1:
				next[i].Leaving = !next[i].Leaving
			case 2:
				next[i].Started = time.UnixMilli(1_700_000_000_000 + int64(random.IntN(1000)))
			default:
				next = append(next, manyUpstreams(700)[600+random.IntN(100)])
			}
		}
		if round%10 == 0 {
			next = manyUpstreams(3) // nearly all is gone
		}
		var got []persimmoncross.Upstream
		f := listFollower(&got)
		first, second := newHub(persimmoncross.SystemClock{}), newHub(persimmoncross.SystemClock{})
		bytes := 0
		for _, c := range []struct {
			hub  *hub
			list []persimmoncross.Upstream
		}{{first, held}, {second, next}} {
			c.hub.setList(c.list, time.Now())
			a := &found{
				list: maps.Clone(f.lastList()),
			}
			s := &sent{
				sums:  listSums(f.lastList()),
				packs: round%2 == 0,
			}
			bytes = 0
			for more := true; more; more = s.pending() {
				u, _ := c.hub.next(s, true, nil)
				bytes += proto.Size(u)
				a.take(f, u)
			}
			want := map[string]persimmoncross.Upstream{}
			for _, u := range c.list {
				want[u.Life()] = u
			}
			have := map[string]persimmoncross.Upstream{}
			for _, u := range got {
				have[u.Life()] = u
			}
			if !maps.EqualFunc(want, have, sameUpstream) {
				t.Fatalf("round %d: the follower has %d upstreams, want %d", round, len(have), len(want))
			}
			if len(a.order) != len(want) {
				t.Fatalf("round %d: loads are read for %d upstreams of %d", round, len(a.order), len(want))
			}
		}
		if whole := 60 * len(next); changes == 0 && round%10 != 0 && bytes > 200 {
			t.Errorf("round %d: %d bytes for a list that is held, of about %d", round, bytes, whole)
		}
	}
}

// A follower that holds no list is sent it packed: thousands of upstreams look alike.
func TestWholeListIsPacked(t *testing.T) {
	h := newHub(persimmoncross.SystemClock{})
	list := manyUpstreams(3000)
	h.setList(list, time.Now())
	size := map[bool]int{}
	for _, packs := range []bool{false, true} {
		var got []persimmoncross.Upstream
		f := listFollower(&got)
		a, s := &found{}, &sent{
			packs: packs,
		}
		for more := true; more; more = s.pending() {
			u, _ := h.next(s, true, nil)
			size[packs] += proto.Size(u)
			if n := proto.Size(u); n > 16<<10 {
				t.Errorf("packed %v: an update of %d bytes", packs, n)
			}
			if err := a.take(f, u); err != nil {
				t.Fatal(err)
			}
		}
		if len(got) != len(list) || len(a.order) != len(list) {
			t.Errorf("packed %v: %d upstreams, loads of %d", packs, len(got), len(a.order))
		}
	}
	t.Logf("%d bytes, packed %d", size[false], size[true])
	if 3*size[true] > size[false] {
		t.Errorf("packed it takes %d bytes of %d", size[true], size[false])
	}
}

// A data centre is removed and comes back: hundreds of lives end and begin at once, and each
// follower ends up with the list; what has begun goes packed.
func TestLargeChangeIsPacked(t *testing.T) {
	size := map[bool]int{}
	for _, packs := range []bool{false, true} {
		h := newHub(persimmoncross.SystemClock{})
		list := manyUpstreams(3000)
		h.setList(list, time.Now())
		var got []persimmoncross.Upstream
		f := listFollower(&got)
		a, s := &found{}, &sent{
			packs: packs,
		}
		tell := func() (bytes int) {
			for more := true; more; more = s.pending() {
				u, _ := h.next(s, true, nil)
				bytes += proto.Size(u)
				if err := a.take(f, u); err != nil {
					t.Fatal(err)
				}
			}
			return bytes
		}
		tell()
		next := slices.Clone(list)
		for i := range next[:750] {
			next[i].Incarnation += "x"
		}
		h.setList(next, time.Now())
		size[packs] = tell()
		want := map[string]bool{}
		for _, u := range next {
			want[u.Life()] = true
		}
		for _, u := range got {
			delete(want, u.Life())
		}
		if len(got) != len(next) || len(want) > 0 || len(a.order) != len(next) || len(s.order) != len(next) {
			t.Errorf("packed %v: %d upstreams, %d missing, loads of %d and %d", packs, len(got), len(want), len(a.order), len(s.order))
		}
	}
	t.Logf("%d bytes, packed %d", size[false], size[true])
	if 2*size[true] > size[false] {
		t.Errorf("packed it takes %d bytes of %d", size[true], size[false])
	}
}

// named gives the upstreams names that do not look alike.
func named(random *rand.Rand, list []persimmoncross.Upstream) {
	for i := range list {
		list[i].Incarnation = fmt.Sprintf("i-%010x", random.Uint64()&(1<<40-1))
	}
}

// A data centre that comes back is told to every follower in one second: a quarter of the
// lives end and begin, and those that ended take a bit for each life, not a name.
func TestRemovedLivesAreBits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	whole, change := 0, map[bool]int{}
	for _, bitmaps := range []bool{false, true} {
		h := newHub(persimmoncross.SystemClock{})
		list := manyUpstreams(3000)
		named(random, list)
		h.setList(list, time.Now())
		s := &sent{
			packs:   true,
			bitmaps: bitmaps,
		}
		tell := func() (bytes int) {
			for more := true; more; more = s.pending() {
				u, _ := h.next(s, true, nil)
				bytes += proto.Size(u)
			}
			return bytes
		}
		whole = tell()
		next := slices.Clone(list)
		named(random, next[:750])
		h.setList(next, time.Now())
		change[bitmaps] = tell()
	}
	t.Logf("the whole list %d bytes, the change %d, by bitmaps %d", whole, change[false], change[true])
	if 2*change[true] > whole || 2*change[true] > change[false] {
		t.Errorf("the change takes %d bytes, by names %d, the whole list %d", change[true], change[false], whole)
	}
}

// Whatever comes and goes, and however far a follower lags, it ends up with the list.
func TestListThroughChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for round := range 60 {
		h := newHub(persimmoncross.SystemClock{})
		list := manyUpstreams(1 + random.IntN(900))
		named(random, list)
		h.setList(list, time.Now())
		var got []persimmoncross.Upstream
		f := listFollower(&got)
		a, s := &found{}, &sent{
			packs:   round%2 == 0,
			bitmaps: round%3 > 0,
		}
		for range 8 {
			for range 1 + random.IntN(3) { // changes that the follower is told together
				next := slices.Clone(list)
				from := random.IntN(len(next))
				named(random, next[from:min(from+random.IntN(300), len(next))])
				if cut := random.IntN(3); cut == 0 && len(next) > 10 {
					next = next[:len(next)-random.IntN(len(next)/2)]
				}
				list = next
				h.setList(list, time.Now())
			}
			for more := true; more; more = s.pending() {
				u, _ := h.next(s, true, nil)
				if err := a.take(f, u); err != nil {
					t.Fatal(err)
				}
			}
			want := map[string]bool{}
			for _, u := range list {
				want[u.Life()] = true
			}
			for _, u := range got {
				if !want[u.Life()] {
					t.Fatalf("round %d: %s has left the list", round, u.Life())
				}
				delete(want, u.Life())
			}
			if len(want) > 0 || len(a.order) != len(list) || !slices.Equal(a.order, s.order) {
				t.Fatalf("round %d: %d are missing, %d of %d known in order", round, len(want), len(a.order), len(list))
			}
		}
	}
}

// An update by bitmaps of another list is not taken: the whole is asked for again.
func TestBitmapOfAnotherList(t *testing.T) {
	var got []persimmoncross.Upstream
	f := listFollower(&got)
	a := &found{
		order: []string{"a", "b"},
	}
	if err := a.take(f, &wire.Update{
		Listed:  true,
		Partial: true,
		Removed: make([]byte, 9),
	}); err == nil {
		t.Error("taken")
	}
}
