package node

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// handClock is a clock that is moved by hand.
type handClock struct{ now time.Time }

func (c *handClock) Now() time.Time                       { return c.now }
func (c *handClock) After(time.Duration) <-chan time.Time { return nil }

func work(id string, ms uint32) *wire.UpstreamLoad {
	return &wire.UpstreamLoad{
		Life: id,
		Work: ms,
	}
}

// workOf returns what the board would tell a follower, by upstream.
func workOf(b *loadBoard, order []string) map[string]relay.FleetLoad {
	list := map[string]relay.FleetLoad{}
	for _, l := range unpack(order, packNow(b, order)) {
		list[l.Life] = l
	}
	return list
}

// The work of entries that follow different controllers is added up at the leader
// and comes to the followers of each.
func TestWorkIsAddedUp(t *testing.T) {
	clock := &handClock{
		now: time.Unix(100, 0),
	}
	order := []string{"u1", "u2"}
	board := func() *loadBoard {
		return &loadBoard{
			clock: clock,
		}
	}
	leader, other := board(), board()
	round := func() {
		leader.take("other", other.account())
		other.learn(order, packNow(leader, order))
	}
	leader.take("e1", []*wire.UpstreamLoad{work("u1", 1000)})
	other.take("e2", []*wire.UpstreamLoad{work("u1", 400), work("u2", 200)})
	other.take("e3", []*wire.UpstreamLoad{
		{
			Life:     "u2",
			Told:     true,
			Running:  7,
			Waiting:  300,
			Age:      60,
			Doubters: 1,
			Heard:    true,
			Silence:  40,
		},
	})
	leader.take("e4", []*wire.UpstreamLoad{
		{
			Life:     "u2",
			Doubters: 1,
		},
	})
	round()
	for name, b := range map[string]*loadBoard{"leader": leader, "other": other} {
		got := workOf(b, order)
		if got["u1"].Work != 1400*time.Millisecond || got["u2"].Work != 200*time.Millisecond {
			t.Errorf("%s tells of work %v and %v, want 1.4 s and 0.2 s", name, got["u1"].Work, got["u2"].Work)
		}
		if got["u1"].Told != nil || got["u2"].Told == nil || got["u2"].Told.Running != 7 || got["u2"].Told.Waiting != loadMost || got["u2"].Age != 60*time.Millisecond {
			t.Errorf("%s tells of %+v and %+v", name, got["u1"].Told, got["u2"].Told)
		}
	}
	if got := workOf(other, order); got["u1"].Doubters != 0 || got["u2"].Doubters != 2 {
		t.Errorf("doubters: %+v", got)
	}
	for name, b := range map[string]*loadBoard{"leader": leader, "other": other} {
		if got := workOf(b, order); got["u1"].Heard || !got["u2"].Heard || got["u2"].Silence != 40*time.Millisecond {
			t.Errorf("%s heard %+v", name, got)
		}
	}
	// An account replaces the one before.
	other.take("e2", nil)
	round()
	if got := workOf(other, order); got["u1"].Work != time.Second || got["u2"].Work != 0 {
		t.Errorf("after e2's answers began: %v", got)
	}
	// A leader that is gone, and entries that are silent, are forgotten.
	clock.now = clock.now.Add(loadAge / 2)
	other.take("e3", []*wire.UpstreamLoad{work("u2", 100)})
	clock.now = clock.now.Add(loadAge/2 + time.Millisecond)
	if got := workOf(other, order); got["u1"].Work != 0 || got["u2"].Work != 100*time.Millisecond || got["u2"].Told != nil {
		t.Errorf("without a leader: %+v", got)
	}
}

// With thousands of upstreams the loads are sent less often.
func TestLoadsAreBounded(t *testing.T) {
	for _, n := range []int{1, 100, 500, 4100} {
		if rate := float64(loadBytes*n) / loadPause(loadBytes*n, n).Seconds(); rate > loadRate {
			t.Errorf("%d upstreams take %.0f bytes a second", n, rate)
		}
		if loadPause(loadBytes*n, n) < loadEvery {
			t.Errorf("%d upstreams are told every %v", n, loadPause(loadBytes*n, n))
		}
	}
}

// Of thousands of upstreams only those take bytes of which something is known; the
// follower gets the same.
func TestLoadsOfThoseKnown(t *testing.T) {
	for _, tt := range []struct{ upstreams, known, most int }{
		{0, 0, 0},
		{1, 0, 1},
		{9, 9, 9*loadBytes + 2},
		{3000, 0, 375},
		{3000, 100, 375 + 100*loadBytes},
	} {
		loads := bytes.Repeat(nothingKnown, tt.upstreams)
		for i := range tt.known {
			loads[loadBytes*(i*tt.upstreams/tt.known)+i%loadBytes] = 7
		}
		sent := sparse(loads)
		if len(sent) > tt.most {
			t.Errorf("%d of %d known: %d bytes", tt.known, tt.upstreams, len(sent))
		}
		if got := dense(sent, tt.upstreams); !bytes.Equal(got, loads) {
			t.Errorf("%d of %d known: the follower has something else", tt.known, tt.upstreams)
		}
		for _, damaged := range [][]byte{append(slices.Clone(sent), 1), sent[:len(sent)/2], {0xff}} {
			if got := dense(damaged, tt.upstreams); got != nil && len(got) != loadBytes*tt.upstreams {
				t.Errorf("%d bytes of what is damaged", len(got))
			}
		}
	}
}

func lifeOf(t *testing.T, x *wire.Upstream) string {
	t.Helper()
	u, ok := toUpstream(x)
	if !ok {
		t.Fatalf("%v is no upstream", x)
	}
	return u.Life()
}

// A stream's loads are read in the order of the list that the stream has told.
func TestLoadsFollowTheList(t *testing.T) {
	var got map[string]time.Duration
	f := &follower{
		Take: func(*wire.Update) bool { return true },
		TakeLoads: func(order []string, loads []byte) {
			got = map[string]time.Duration{}
			for _, l := range unpack(order, loads) {
				name, _, _ := strings.Cut(l.Life, "~")
				got[name] = l.Work
			}
		},
	}
	a := &found{}
	upstreams := func(ids ...string) (list []*wire.Upstream) {
		for _, id := range ids {
			list = append(list, &wire.Upstream{
				Incarnation: id,
				Address:     "127.0.0.1:1",
			})
		}
		return list
	}
	a.take(f, &wire.Update{
		Listed:    true,
		Upstreams: upstreams("c", "a"),
		Loads:     []byte{loadUnknown, loadUnknown, 0, 0, 1, 0, loadUnknown, loadUnknown, 0, 0, 3, 0},
	})
	if got["a"] != loadUnit || got["c"] != 3*loadUnit {
		t.Errorf("loads: %v", got)
	}
	a.take(f, &wire.Update{
		Listed:    true,
		Partial:   true,
		Upstreams: upstreams("b"),
		Gone:      []string{lifeOf(t, upstreams("a")[0])},
		Loads:     []byte{0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 3, 0},
	})
	if len(got) != 2 || got["b"] != 2*loadUnit || got["c"] != 3*loadUnit {
		t.Errorf("loads after a change: %v", got)
	}
	got = nil
	a.take(f, &wire.Update{
		Loads: []byte{1, 2, 3},
	})
	if got != nil {
		t.Errorf("loads of another list were taken: %v", got)
	}
}

func packNow(b *loadBoard, lives []string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pack(lives, b.clock.Now())
}

// Followers of one list are told the same for a moment: it is put together once.
// 3,000 upstreams for 75 followers, four times a second, took a controller a tenth of a
// core.
func TestLoadsArePutTogetherOnce(t *testing.T) {
	clock := &leapClock{
		now: time.Unix(1000, 0),
	}
	b := &loadBoard{
		clock: clock,
	}
	one, two := []string{"a", "b"}, []string{"a", "b", "c"}
	first, _ := b.tell(one)
	if again, known := b.tell(one); &again[0] != &first[0] || len(known) != 1 {
		t.Error("the same list is put together again at once")
	}
	if other, _ := b.tell(two); len(other) != loadBytes*len(two) {
		t.Errorf("another list is told %d bytes", len(other))
	}
	first, _ = b.tell(one)
	b.take("e", []*wire.UpstreamLoad{
		{Life: "b", Work: 1000},
	})
	clock.now = clock.now.Add(time.Millisecond)
	if later, known := b.tell(one); bytes.Equal(later, first) || len(known) != 1+loadBytes {
		t.Error("news is not told")
	}
	if none, known := b.tell(nil); len(none)+len(known) != 0 {
		t.Error("without a list something is told")
	}
}

type leapClock struct {
	persimmoncross.SystemClock
	now time.Time
}

func (c *leapClock) Now() time.Time { return c.now }
