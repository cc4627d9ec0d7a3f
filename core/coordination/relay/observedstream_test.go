package relay

import (
	"testing"
	"time"

	"persimmoncross/core/state/register"
)

// A slow stream that has not ended must have a pace, or only the quick ones are known.
func TestOpenStreamHasPace(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name   string
		pauses []time.Duration // before each event
		age    time.Duration
		ended  bool
		want   time.Duration // 0: unknown
	}{
		{"ended", []time.Duration{50 * ms, 20 * ms, 21 * ms, 22 * ms}, 113 * ms, true, 21 * ms},
		{"open, many events", []time.Duration{50 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms}, 210 * ms, false, 20 * ms},
		{"open, few events, young", []time.Duration{50 * ms, 200 * ms, 200 * ms, 200 * ms}, 650 * ms, false, 0},
		{"open, few events, older", []time.Duration{50 * ms, 250 * ms, 250 * ms, 250 * ms}, 1000 * ms, false, 250 * ms},
		{"a pause while another prompt is read", []time.Duration{50 * ms, 900 * ms, 25 * ms, 25 * ms}, 1000 * ms, false, 25 * ms},
		{"two events", []time.Duration{50 * ms, 900 * ms}, 1000 * ms, false, 0},
		{"two events after long", []time.Duration{50 * ms, 900 * ms}, 6 * time.Second, false, 2 * time.Second},
		{"ended after two events", []time.Duration{50 * ms, 900 * ms}, 950 * ms, true, 0},
	} {
		s := &CanaryStats{}
		u := &register.Upgrade{
			Order: 1,
		}
		key := CanaryKey{
			Version:      "v2",
			UpgradeOrder: 1,
		}
		began := time.Unix(1000, 0)
		o := s.beginStream(u, key, began)
		now := began
		for _, pause := range tt.pauses {
			now = now.Add(pause)
			o.recordEvents(pause, 1)
			s.observe(o, now, false)
		}
		if tt.ended {
			s.observe(o, now, true)
		} else {
			s.ObserveOpen(began.Add(tt.age))
		}
		counts := s.Counts()[key]
		if streams := counts.Paces.Streams(); (streams == 1) != (tt.want > 0) {
			t.Errorf("%s: %d paces, want %v", tt.name, streams, tt.want)
		}
		if median := counts.Paces.Median(); tt.want > 0 && (median < tt.want*95/100 || median > tt.want*105/100) {
			t.Errorf("%s: pace %v, want %v", tt.name, median, tt.want)
		}
		if wantOpen := !tt.ended && tt.want == 0; (counts.OpenStreams == 1) != wantOpen {
			t.Errorf("%s: %d open", tt.name, counts.OpenStreams)
		}
	}
}
