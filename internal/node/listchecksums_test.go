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

func testUpstreams(n int) []persimmoncross.Upstream {
	var list []persimmoncross.Upstream
	for i := range n {
		list = append(list, persimmoncross.Upstream{
			Name:       fmt.Sprintf("i-%08x", i*2654435761),
			Service:    "service",
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
			DataCentre: "hall-1",
			Version:    "v1",
			Slots:      16,
			Models:     []string{"model-one", "model-two"},
		})
	}
	return list
}

// newListFollower returns a follower that stores each list that it applies in list.
func newListFollower(list *[]persimmoncross.Upstream) *follower {
	return &follower{
		Metrics: metrics.NewRegistry(),
		ApplyUpdate: func(u *wire.Update) bool {
			if u.GetListed() {
				*list = upstreamsOf(u)
			}
			return true
		},
	}
}

// TestListAfterControllerSwitch checks that a follower which switches to another controller ends
// up with that controller's list, whatever list the follower had, and that few bytes are sent if
// the lists are the same.
func TestListAfterControllerSwitch(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 40 {
		heldList := testUpstreams(1 + random.IntN(600))
		next := slices.Clone(heldList)
		changes := random.IntN(4)
		for range changes {
			switch i := random.IntN(len(next)); random.IntN(4) {
			case 0:
				next = slices.Delete(next, i, i+1)
				if len(next) == 0 {
					next = testUpstreams(1)
				}
			case 1:
				next[i].Draining = !next[i].Draining
			case 2:
				next[i].StartedAt = time.UnixMilli(1_700_000_000_000 + int64(random.IntN(1000)))
			default:
				next = append(next, testUpstreams(700)[600+random.IntN(100)])
			}
		}
		if round%10 == 0 {
			next = testUpstreams(3) // nearly all upstreams are removed
		}
		var got []persimmoncross.Upstream
		f := newListFollower(&got)
		first, second := newPublisher(persimmoncross.SystemClock{}), newPublisher(persimmoncross.SystemClock{})
		sentBytes := 0
		for _, c := range []struct {
			publisherUnderTest *publisher
			list               []persimmoncross.Upstream
		}{{first, heldList}, {second, next}} {
			c.publisherUnderTest.setList(c.list, time.Now())
			a := &controllerStream{
				upstreams: maps.Clone(f.lastReceivedList()),
			}
			s := &followerState{
				initialChecksums: partitionChecksums(f.lastReceivedList()),
				acceptsPacked:    round%2 == 0,
			}
			sentBytes = 0
			for more := true; more; more = s.hasPending() {
				u, _ := c.publisherUnderTest.nextUpdate(s, true, nil)
				sentBytes += proto.Size(u)
				a.handleUpdate(f, u)
			}
			wantByID := map[string]persimmoncross.Upstream{}
			for _, u := range c.list {
				wantByID[u.InstanceID()] = u
			}
			gotByID := map[string]persimmoncross.Upstream{}
			for _, u := range got {
				gotByID[u.InstanceID()] = u
			}
			if !maps.EqualFunc(wantByID, gotByID, equalUpstream) {
				t.Fatalf("round %d: the follower has %d upstreams, want %d", round, len(gotByID), len(wantByID))
			}
			if len(a.listIDs) != len(wantByID) {
				t.Fatalf("round %d: listIDs has %d upstreams, want %d", round, len(a.listIDs), len(wantByID))
			}
		}
		if approximateSize := 60 * len(next); changes == 0 && round%10 != 0 && sentBytes > 200 {
			t.Errorf("round %d: %d bytes were sent for an unchanged list of about %d bytes", round, sentBytes, approximateSize)
		}
	}
}

// TestFullListIsPacked checks that a follower without a list is sent the whole list packed, which
// makes it much smaller because thousands of upstreams are similar.
func TestFullListIsPacked(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	list := testUpstreams(3000)
	pub.setList(list, time.Now())
	size := map[bool]int{}
	for _, acceptsPacked := range []bool{false, true} {
		var got []persimmoncross.Upstream
		f := newListFollower(&got)
		a, s := &controllerStream{}, &followerState{
			acceptsPacked: acceptsPacked,
		}
		for more := true; more; more = s.hasPending() {
			u, _ := pub.nextUpdate(s, true, nil)
			size[acceptsPacked] += proto.Size(u)
			if n := proto.Size(u); n > 16<<10 {
				t.Errorf("packed %v: an update of %d bytes, want at most 16 KiB", acceptsPacked, n)
			}
			if err := a.handleUpdate(f, u); err != nil {
				t.Fatal(err)
			}
		}
		if len(got) != len(list) || len(a.listIDs) != len(list) {
			t.Errorf("packed %v: %d upstreams, listIDs has %d", acceptsPacked, len(got), len(a.listIDs))
		}
	}
	t.Logf("unpacked %d bytes, packed %d", size[false], size[true])
	if 3*size[true] > size[false] {
		t.Errorf("packed size %d bytes, unpacked %d", size[true], size[false])
	}
}

// TestLargeChangeIsPacked checks a data centre that is removed and comes back, so that hundreds of
// instances are replaced at once: each follower ends up with the list, and the new instances are
// sent packed.
func TestLargeChangeIsPacked(t *testing.T) {
	size := map[bool]int{}
	for _, acceptsPacked := range []bool{false, true} {
		pub := newPublisher(persimmoncross.SystemClock{})
		list := testUpstreams(3000)
		pub.setList(list, time.Now())
		var got []persimmoncross.Upstream
		f := newListFollower(&got)
		a, s := &controllerStream{}, &followerState{
			acceptsPacked: acceptsPacked,
		}
		sendUpdates := func() (bytes int) {
			for more := true; more; more = s.hasPending() {
				u, _ := pub.nextUpdate(s, true, nil)
				bytes += proto.Size(u)
				if err := a.handleUpdate(f, u); err != nil {
					t.Fatal(err)
				}
			}
			return bytes
		}
		sendUpdates()
		next := slices.Clone(list)
		for i := range next[:750] {
			next[i].Name += "x"
		}
		pub.setList(next, time.Now())
		size[acceptsPacked] = sendUpdates()
		missing := map[string]bool{}
		for _, u := range next {
			missing[u.InstanceID()] = true
		}
		for _, u := range got {
			delete(missing, u.InstanceID())
		}
		if len(got) != len(next) || len(missing) > 0 || len(a.listIDs) != len(next) || len(s.listIDs) != len(next) {
			t.Errorf("packed %v: %d upstreams, %d missing, listIDs has %d in the stream, %d in the follower state", acceptsPacked, len(got), len(missing), len(a.listIDs), len(s.listIDs))
		}
	}
	t.Logf("unpacked %d bytes, packed %d", size[false], size[true])
	if 2*size[true] > size[false] {
		t.Errorf("packed size %d bytes, unpacked %d", size[true], size[false])
	}
}

// randomizeIncarnations gives the upstreams random incarnations, which don't compress well.
func randomizeIncarnations(random *rand.Rand, list []persimmoncross.Upstream) {
	for i := range list {
		list[i].Name = fmt.Sprintf("i-%010x", random.Uint64()&(1<<40-1))
	}
}

// TestRemovedUpstreamsAsBitmap checks the bytes that a data centre which comes back takes for each
// follower: a quarter of the instances is replaced, and the removed ones are sent as a bitmap with
// one bit for each instance of the list instead of a name for each removed one. All followers are
// sent this change within one second.
func TestRemovedUpstreamsAsBitmap(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	listBytes, changeBytes := 0, map[bool]int{}
	for _, bitmaps := range []bool{false, true} {
		pub := newPublisher(persimmoncross.SystemClock{})
		list := testUpstreams(3000)
		randomizeIncarnations(random, list)
		pub.setList(list, time.Now())
		s := &followerState{
			acceptsPacked:  true,
			acceptsBitmaps: bitmaps,
		}
		sendUpdates := func() (bytes int) {
			for more := true; more; more = s.hasPending() {
				u, _ := pub.nextUpdate(s, true, nil)
				bytes += proto.Size(u)
			}
			return bytes
		}
		listBytes = sendUpdates()
		next := slices.Clone(list)
		randomizeIncarnations(random, next[:750])
		pub.setList(next, time.Now())
		changeBytes[bitmaps] = sendUpdates()
	}
	t.Logf("whole list %d bytes, change %d, change with bitmaps %d", listBytes, changeBytes[false], changeBytes[true])
	if 2*changeBytes[true] > listBytes || 2*changeBytes[true] > changeBytes[false] {
		t.Errorf("the change takes %d bytes with bitmaps, %d with names, the whole list %d", changeBytes[true], changeBytes[false], listBytes)
	}
}

// TestListAfterRandomChanges checks that a follower ends up with the list whichever upstreams are
// added and removed, and however far the follower lags behind.
func TestListAfterRandomChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for round := range 60 {
		pub := newPublisher(persimmoncross.SystemClock{})
		list := testUpstreams(1 + random.IntN(900))
		randomizeIncarnations(random, list)
		pub.setList(list, time.Now())
		var got []persimmoncross.Upstream
		f := newListFollower(&got)
		a, s := &controllerStream{}, &followerState{
			acceptsPacked:  round%2 == 0,
			acceptsBitmaps: round%3 > 0,
		}
		for range 8 {
			for range 1 + random.IntN(3) { // changes that the follower receives together
				next := slices.Clone(list)
				from := random.IntN(len(next))
				randomizeIncarnations(random, next[from:min(from+random.IntN(300), len(next))])
				if cut := random.IntN(3); cut == 0 && len(next) > 10 {
					next = next[:len(next)-random.IntN(len(next)/2)]
				}
				list = next
				pub.setList(list, time.Now())
			}
			for more := true; more; more = s.hasPending() {
				u, _ := pub.nextUpdate(s, true, nil)
				if err := a.handleUpdate(f, u); err != nil {
					t.Fatal(err)
				}
			}
			missing := map[string]bool{}
			for _, u := range list {
				missing[u.InstanceID()] = true
			}
			for _, u := range got {
				if !missing[u.InstanceID()] {
					t.Fatalf("round %d: the follower still has %s, which was removed", round, u.InstanceID())
				}
				delete(missing, u.InstanceID())
			}
			if len(missing) > 0 || len(a.listIDs) != len(list) || !slices.Equal(a.listIDs, s.listIDs) {
				t.Fatalf("round %d: %d upstreams are missing, listIDs has %d, want %d in the order of the follower state", round, len(missing), len(a.listIDs), len(list))
			}
		}
	}
}

// TestBitmapOfAnotherListIsRejected checks that an update with the bitmap of another list is
// rejected, so that the follower leaves the stream and requests the list again.
func TestBitmapOfAnotherListIsRejected(t *testing.T) {
	var got []persimmoncross.Upstream
	f := newListFollower(&got)
	a := &controllerStream{
		listIDs: []string{"a", "b"},
	}
	if err := a.handleUpdate(f, &wire.Update{
		Listed:  true,
		Partial: true,
		Removed: make([]byte, 9),
	}); err == nil {
		t.Error("taken")
	}
}
