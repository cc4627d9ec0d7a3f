package buffers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Callers with the least urgent requests would take all memory, and urgent ones would be refused.
func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	for _, tt := range []struct {
		name  string
		held  int64
		bytes int64
		rank  int
		want  bool
	}{
		{"empty", 0, 500, 9, true},
		{"the least urgent may use half", 450, 60, 9, false},
		{"the next in the reserve", 450, 60, 3, true},
		{"a quarter of the reserve is left to rank 2", 620, 10, 2, false},
		{"half of it to rank 1", 620, 10, 1, true},
		{"all of it to rank 0", 740, 260, 0, true},
		{"nothing beyond the limit", 740, 261, 0, false},
		{"a negative rank is the most urgent", 740, 260, -1, true},
		{"a rank without bound", 0, 501, 1 << 40, false},
	} {
		b := &Budget{
			Limit: 1000,
		}
		b.Add(Responses, tt.held)
		if got := b.Reserve(Requests, tt.bytes, tt.rank); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
		want := tt.held
		if tt.want {
			want += tt.bytes
		}
		if b.Total() != want {
			t.Errorf("%s: %d bytes are held, want %d", tt.name, b.Total(), want)
		}
	}
}

// Whatever comes and goes, admitted work never exceeds the limit, and what was released is free again.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{
			Limit: rapid.Int64Range(0, 1000).Draw(t, "limit"),
		}
		type part struct {
			kind  Kind
			bytes int64
		}
		var held []part
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				b.Add(held[0].kind, -held[0].bytes)
				held = held[1:]
				continue
			}
			p := part{
				kind:  rapid.SampledFrom(Kinds()).Draw(t, "kind"),
				bytes: rapid.Int64Range(0, 400).Draw(t, "bytes"),
			}
			rank := rapid.IntRange(0, 20).Draw(t, "rank")
			if b.LimitOf(rank+1) > b.LimitOf(rank) {
				t.Fatalf("rank %d may use more than rank %d", rank+1, rank)
			}
			if b.Reserve(p.kind, p.bytes, rank) {
				held = append(held, p)
			}
			if b.Total() > b.Limit {
				t.Fatalf("%d bytes are held of %d", b.Total(), b.Limit)
			}
		}
		for _, p := range held {
			b.Add(p.kind, -p.bytes)
		}
		for _, kind := range Kinds() {
			if b.Held(kind) != 0 {
				t.Fatalf("%d bytes of %v are held after all were released", b.Held(kind), kind)
			}
		}
	})
}

// An entry that is full for a moment must not leave its callers to the others, and one that stays
// full must not stay away: the others would bear its load.
func TestPressure(t *testing.T) {
	start := time.Unix(100, 0)
	for _, tt := range []struct {
		name string
		held func(second int) int64
		away []int // seconds at which callers should use other entries
	}{
		{"never full", func(int) int64 { return 80 }, nil},
		{"full for two checks", func(s int) int64 { return []int64{10, 90, 90, 40, 90, 90, 40}[s%7] }, nil},
		{"full and soon empty", func(s int) int64 {
			if s < 4 {
				return 100
			}
			return 20
		}, []int{2, 3}},
		{"between the limits it stays as it is", func(s int) int64 {
			if s == 0 {
				return 100
			}
			return 70
		}, []int{2, 3, 4, 35, 36, 37}},
		{"always full", func(int) int64 { return 100 }, []int{2, 3, 4, 35, 36, 37}},
	} {
		p := &Pressure{}
		var got []int
		for s := range 60 {
			if away, _ := p.Update(tt.held(s), 100, start.Add(time.Duration(s)*time.Second)); away {
				got = append(got, s)
			}
		}
		if len(got) != len(tt.away) {
			t.Errorf("%s: away at %v, want %v", tt.name, got, tt.away)
			continue
		}
		for i := range got {
			if got[i] != tt.away[i] {
				t.Errorf("%s: away at %v, want %v", tt.name, got, tt.away)
				break
			}
		}
	}
}
