package buffers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testLimit = 12 << 20

// grow grows the body in steps, as it arrives.
func grow(b *Bodies, x *Body, bytes int64, now time.Time) (ok bool) {
	const step = 64 << 10
	for ; bytes > 0; bytes -= step {
		if ok, _ := b.Grow(x, min(step, bytes), now); !ok {
			return false
		}
		b.Received(x, min(step, bytes), now)
	}
	return true
}

func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Bodies{
		Limit:      testLimit,
		LargeLimit: testLimit * 3 / 4,
	}
	large := 0
	for range 10 {
		if x := b.Begin(4<<20, now); grow(b, x, 4<<20, now) {
			b.Complete(x)
			large++
		} else {
			b.Release(x)
		}
	}
	if large != 2 {
		t.Errorf("%d large bodies have room, want 2", large)
	}
	for n := range 10 {
		x := b.Begin(100<<10, now)
		if !b.Fits(x, now) || !grow(b, x, 100<<10, now) {
			t.Errorf("small body %d has no room", n)
		}
		b.Complete(x)
	}
}

func TestAnnouncedBodiesTakeNoRoom(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Bodies{
		Limit:      testLimit,
		LargeLimit: testLimit * 3 / 4,
	}
	for range 1000 {
		b.Begin(4<<20, now)
	}
	if x := b.Begin(4<<20, now); !b.Fits(x, now) || !grow(b, x, 4<<20, now) {
		t.Error("a body has no room beside announced ones")
	}
}

// A body that stopped in the middle would keep out others until its deadline.
func TestStalledBodiesYield(t *testing.T) {
	now := time.Unix(100, 0)
	for _, tt := range []struct {
		name   string
		wait   time.Duration
		slowly int64 // bytes that arrive each 100 ms meanwhile
		done   bool
		want   bool
	}{
		{"it came a moment ago", 500 * time.Millisecond, 0, false, false},
		{"it stopped", 2500 * time.Millisecond, 0, false, true},
		{"it drips", 3 * time.Second, 1, false, true},
		{"it arrives", 3 * time.Second, 16 << 10, false, false},
		{"it is complete", time.Minute, 0, true, false},
	} {
		b := &Bodies{
			Limit:      8 << 20,
			LargeLimit: 6 << 20,
		}
		var held []*Body
		for range 2 {
			x := b.Begin(4<<20, now)
			if !grow(b, x, 3<<20, now) {
				t.Fatal("no room for the first bodies")
			}
			if tt.done {
				b.Complete(x)
			}
			held = append(held, x)
		}
		at := now
		for at.Sub(now) < tt.wait {
			at = at.Add(100 * time.Millisecond)
			for _, x := range held {
				b.Received(x, tt.slowly, at)
			}
		}
		x := b.Begin(4<<20, at)
		if got := b.Fits(x, at) && grow(b, x, 4<<20, at); got != tt.want {
			t.Errorf("%s: room %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestBodyAloneAlwaysFits(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Bodies{
		Limit: 1 << 20,
	}
	if x := b.Begin(-1, now); !grow(b, x, 4<<20, now) {
		t.Error("a body has no room though nothing else is held")
	}
}

// Whatever comes and goes, several bodies never hold more than the limit, and nothing is held once all have ended.
func TestBodiesBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		b := &Bodies{
			Limit:      testLimit,
			LargeLimit: testLimit * 3 / 4,
		}
		var all []*Body
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			if len(all) == 0 || rapid.Bool().Draw(t, "new") {
				all = append(all, b.Begin(rapid.Int64Range(-1, 4<<20).Draw(t, "length"), now))
				continue
			}
			x := all[rapid.IntRange(0, len(all)-1).Draw(t, "body")]
			bytes := rapid.Int64Range(1, 1<<20).Draw(t, "bytes")
			if b.incomplete[x] {
				if ok, _ := b.Grow(x, bytes, now); ok {
					b.Received(x, bytes, now)
				}
			}
			if rapid.Bool().Draw(t, "complete") {
				b.Complete(x)
			}
			if rapid.Bool().Draw(t, "end") {
				b.Release(x)
			}
			holding := 0
			for _, x := range all {
				if x.held > 0 {
					holding++
				}
			}
			if holding > 1 && b.Held() > b.Limit {
				t.Fatalf("%d bodies hold %d bytes", holding, b.Held())
			}
		}
		for _, x := range all {
			b.Release(x)
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes are held after all were released", b.Held())
		}
	})
}
