package persimmoncross

import "testing"

func TestOverloadPolicyEnabled(t *testing.T) {
	tests := []struct {
		name         string
		policy       OverloadPolicy
		paceReported bool
		want         bool
	}{
		{"zero value", OverloadPolicy{}, true, false},
		{"off", OverloadPolicy{Mode: OverloadOff, Declared: true}, true, false},
		{"on", OverloadPolicy{Mode: OverloadOn}, false, true},
		{"auto, nothing known", OverloadPolicy{Mode: OverloadAuto}, false, false},
		{"auto, declared", OverloadPolicy{Mode: OverloadAuto, Declared: true}, false, true},
		{"auto, pace reported", OverloadPolicy{Mode: OverloadAuto}, true, true},
		{"omitted", OverloadPolicy{Mode: OverloadOn, Omit: []OverloadPart{OverloadQueue}}, true, false},
		{"another part omitted", OverloadPolicy{Mode: OverloadOn, Omit: []OverloadPart{OverloadRecall}}, true, true},
	}
	for _, tt := range tests {
		if got := tt.policy.Enabled(OverloadQueue, tt.paceReported); got != tt.want {
			t.Errorf("%s: enabled %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Lending is an operator's choice: it must not be in force by what the platform declares.
func TestLendingNeedsModeOn(t *testing.T) {
	for _, mode := range []OverloadMode{OverloadOn, OverloadAuto, OverloadOff, ""} {
		p := OverloadPolicy{
			Mode:     mode,
			Declared: true,
		}
		if got := p.Enabled(OverloadLending, true); got != (mode == OverloadOn) {
			t.Errorf("mode %q: lending enabled: %v", mode, got)
		}
	}
}
