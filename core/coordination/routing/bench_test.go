package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// BenchmarkPick measures the time of a pick and the table's memory by the number of upstreams
// that have the version.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			t := newTable(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			c := PickInfo{
				Version: persimmoncross.ParseModelVersion("m@1"),
				Prompt:  make([]byte, 4096),
			}
			b.ReportAllocs()
			for b.Loop() {
				t.Pick(c)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/upstream")
		})
	}
}

func newTable(n int) *Table {
	file := &settings.File{
		Upstreams: map[string]*settings.Upstream{},
	}
	for i := range n {
		file.Upstreams[fmt.Sprintf("engine-%04d", i)] = &settings.Upstream{
			Kind:     "engine",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Versions: []string{"m@1"},
		}
	}
	t := &Table{
		Clock: persimmoncross.SystemClock{},
		Picker: &ExpectedLatency{
			Random: rand.New(rand.NewPCG(1, 2)),
		},
		LiveEntries: func() int { return 8 },
	}
	t.Update(&settings.Snapshot{
		File: file,
	})
	return t
}
