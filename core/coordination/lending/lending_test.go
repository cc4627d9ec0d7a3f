package lending

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// An upstream has room for what ends within the age of its load, less what is there; one that lets
// requests wait while slots are free is limited by what it runs.
func TestUpstreamRoom(t *testing.T) {
	tests := []struct {
		name     string
		upstream Upstream
		want     float64
	}{
		{"idle, nothing known", Upstream{Slots: 8}, 8},
		{"full", Upstream{Slots: 8, Requests: 8, Running: 8, HoldTime: 2 * time.Second}, 2},
		{"half full", Upstream{Slots: 8, Requests: 4, Running: 4, HoldTime: 2 * time.Second}, 6},
		{"queue", Upstream{Slots: 8, Requests: 16, Running: 8, Waiting: 8, HoldTime: 2 * time.Second}, -6},
		{"memory full", Upstream{Slots: 64, Requests: 35, Running: 32, Waiting: 3, HoldTime: 2 * time.Second}, 5},
		{"short calls", Upstream{Slots: 8, Requests: 8, Running: 8, HoldTime: 50 * time.Millisecond}, 80},
	}
	for _, tt := range tests {
		if got := tt.upstream.Room(500 * time.Millisecond); got != tt.want {
			t.Errorf("%s: room %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Load: 90 entries, of which few have urgent requests, want twice the room. Their parts must add up to
// the room, follow what waits, and serve the urgent ones first: otherwise all send to the same free slots.
func TestPartsAddUpToRoom(t *testing.T) {
	const entries, room, rounds = 90, 60.0, 400
	random := rand.New(rand.NewPCG(3, 4))
	total, urgent, idle := 0, 0, 0
	for range rounds {
		own := make([][]int, entries)
		waiting := make([]int, 2)
		for i := range own {
			own[i] = make([]int, 2)
			if i%3 == 0 {
				continue // nothing waits here
			}
			own[i][1] = random.IntN(5)
			if i%9 == 1 {
				own[i][0] = 2
			}
			waiting[0] += own[i][0]
			waiting[1] += own[i][1]
		}
		for i := range own {
			a := &Account{}
			a.Divide(Demand{
				Room:    room,
				LoadAge: 500 * time.Millisecond,
				Waiting: waiting,
				Own:     own[i],
				Summed:  entries,
				Entries: entries,
			}, start, random.Float64())
			total += a.Credits()
			if own[i][0] > 0 {
				urgent += min(a.Credits(), own[i][0])
			}
			if i%3 == 0 {
				idle += a.Credits()
			}
		}
	}
	if mean := float64(total) / rounds; math.Abs(mean-room) > 1 {
		t.Errorf("parts add up to %.1f of room %.0f", mean, room)
	}
	if mean := float64(urgent) / rounds; mean != 20 {
		t.Errorf("%.1f of 20 urgent requests may go", mean)
	}
	if idle > 0 {
		t.Errorf("entries where nothing waits got %d", idle)
	}
}

// Room must not be promised again before the loads show who took it, and what nobody waits for is for
// requests that arrive.
func TestRoomIsPromisedOnce(t *testing.T) {
	a := &Account{}
	d := Demand{
		Room:    10,
		LoadAge: 500 * time.Millisecond,
		Waiting: []int{30},
		Own:     []int{30},
		Summed:  1,
		Entries: 1,
	}
	want := []int{10, 0, 10, 0, 10}
	for i, w := range want {
		a.Divide(d, start.Add(time.Duration(i)*250*time.Millisecond), 0)
		if a.Credits() != w {
			t.Errorf("division %d: %d credits, want %d", i, a.Credits(), w)
		}
	}
	a = &Account{}
	d.Waiting, d.Own, d.Summed, d.Entries = []int{2}, []int{0}, 4, 4
	a.Divide(d, start, 0)
	if a.Credits() != 2 {
		t.Errorf("%d credits where nothing waits, want its even part of the 8 that nobody waits for", a.Credits())
	}
}

// Failures: no news for more than a second, nothing waits any more, an entry outside the sum. The account
// must then not limit the entry, and not give it more than its part.
func TestAccountWithoutNews(t *testing.T) {
	a := &Account{}
	d := Demand{
		LoadAge: 500 * time.Millisecond,
		Waiting: []int{5},
		Own:     []int{5},
		Summed:  2,
		Entries: 4,
	}
	a.Divide(d, start, 0)
	if a.MaySend(start) || !a.MaySend(start.Add(maxAge+1)) {
		t.Error("want no credits without room, and no limit without news")
	}
	d.Room = 8
	a.Divide(d, start.Add(time.Second), 0)
	if a.Credits() != 4 {
		t.Errorf("%d credits with half of the entries in the sum, want half of the room", a.Credits())
	}
	a.Send()
	if a.Credits() != 3 {
		t.Errorf("%d credits after one was used, want 3", a.Credits())
	}
	a.Divide(Demand{}, start.Add(2*time.Second), 0)
	if a.IsActive(start.Add(2 * time.Second)) {
		t.Error("active though nothing waits")
	}
}
