package placement

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

func idleCandidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{
			Name:  fmt.Sprint("u", i),
			Slots: 10,
		}
	}
	return list
}

// A prompt leaves its preferred upstream behind a lossy link if another upstream is idle. It
// stays if all links are equally lossy, or if it would wait much longer elsewhere.
func TestPreferredUpstreamBehindLossyLink(t *testing.T) {
	p := Prompt{
		PrefixKey: "part",
	}
	candidates := idleCandidates(4)
	preferred, _ := Place(candidates, p, 0)
	candidates[preferred].LinkDelay = 800 * time.Millisecond
	if got, _ := Place(candidates, p, 0); got == preferred {
		t.Error("the prompt was placed behind a lossy link though other upstreams are idle")
	}
	for i := range candidates {
		candidates[i].LinkDelay = 800 * time.Millisecond
	}
	if got, _ := Place(candidates, p, 0); got != preferred {
		t.Error("the prompt left its preferred upstream though all links are equally lossy")
	}
	for i := range candidates {
		candidates[i].LinkDelay = 0
		candidates[i].QueuedPrefillTime = 3 * time.Second
	}
	candidates[preferred].LinkDelay = 800 * time.Millisecond
	candidates[preferred].QueuedPrefillTime = 0
	if got, _ := Place(candidates, p, 0); got != preferred {
		t.Error("the prompt was placed behind a 3 s queue to avoid a lossy link")
	}
}

// A request without a prompt goes to the upstream with the lowest slot utilization, and over
// a lossy link only if the other upstreams have a much higher utilization.
func TestRequestsWithoutPromptGoToLeastLoaded(t *testing.T) {
	candidates := idleCandidates(3)
	candidates[0].SlotUtilization, candidates[1].SlotUtilization, candidates[2].SlotUtilization = 0.4, 0.1, 0.3
	if got, copyFrom := Place(candidates, Prompt{}, 7); got != 1 || copyFrom != NoCandidate {
		t.Errorf("placed at %d, copied from %d", got, copyFrom)
	}
	candidates[1].LinkDelay = lossyLinkDelay
	if got, _ := Place(candidates, Prompt{}, 7); got != 2 {
		t.Errorf("with a lossy link to the least utilized upstream: placed at %d, want 2", got)
	}
	candidates[0].SlotUtilization, candidates[2].SlotUtilization = 0.9, 0.9
	if got, _ := Place(candidates, Prompt{}, 7); got != 1 {
		t.Errorf("with the other upstreams nearly full: placed at %d, want 1", got)
	}
}

const lossyLinkDelay = 100 * time.Millisecond

// The tie breaker selects among equally loaded upstreams, so that the requests of different
// entries spread over them.
func TestTieBreakerSpreadsRequests(t *testing.T) {
	seen := map[int]bool{}
	for tieBreaker := range uint64(30) {
		target, _ := Place(idleCandidates(5), Prompt{}, tieBreaker)
		seen[target] = true
	}
	if len(seen) != 5 {
		t.Errorf("30 tie breakers selected %d of 5 upstreams", len(seen))
	}
}

// A single candidate is selected whatever its load is.
func TestSingleCandidate(t *testing.T) {
	candidates := idleCandidates(1)
	candidates[0].TimeToFirstToken, candidates[0].QueuedPrefillTime, candidates[0].InflightRequests = time.Minute, time.Minute, 99
	for _, p := range []Prompt{{}, {PrefixKey: "part"}} {
		if target, copyFrom := Place(candidates, p, 3); target != 0 || copyFrom != NoCandidate {
			t.Errorf("%+v: placed at %d, copied from %d", p, target, copyFrom)
		}
	}
}

// Only a quarter of the entries may send to a cold upstream. With a hash weight of 4, because each
// of them sends for four entries, the upstream gets about its usual share of the prompts. Without
// the weight it gets a quarter of that share.
func TestHashWeightOffsetsEntriesThatDoNotSend(t *testing.T) {
	const prompts, upstreams, entries, senders = 4000, 12, 8, 2
	for _, tt := range []struct {
		hashWeight         float64
		minShare, maxShare float64 // fraction of the cold upstream's usual share
	}{
		{1, 0.15, 0.35},
		{entries / senders, 0.7, 1.1},
	} {
		coldRequests := 0
		for p := range prompts {
			var candidates []Candidate
			for i := range upstreams {
				c := Candidate{
					Name:  fmt.Sprint("u", i),
					Slots: 8,
				}
				if i == 0 && p%entries >= senders {
					continue
				}
				if i == 0 {
					c.HashWeight = tt.hashWeight
				}
				candidates = append(candidates, c)
			}
			target, _ := Place(candidates, Prompt{PrefixKey: fmt.Sprint("h", p)}, 0)
			if candidates[target].Name == "u0" {
				coldRequests++
			}
		}
		if got := float64(coldRequests) * upstreams / prompts; got < tt.minShare || got > tt.maxShare {
			t.Errorf("hash weight %v: the cold upstream gets %.2f of its usual share", tt.hashWeight, got)
		}
	}
}

// Guards against requests without a prompt that all go to one of several upstreams which are
// alike, and against a slow one that is chosen because it is idle.
func TestFastestSharesAmongAlike(t *testing.T) {
	for _, tt := range []struct {
		name       string
		candidates []Candidate
		want       []int
	}{
		{"paces within the tolerance", []Candidate{{Pace: 0.7}, {Pace: 0.75}, {Pace: 1.75}}, []int{0, 1}},
		{"the less loaded of two alike", []Candidate{{Pace: 0.7, SlotUtilization: 0.16}, {Pace: 0.75}, {Pace: 1.75}}, []int{1}},
		{"a pace that is not known counts as the mean", []Candidate{{Pace: 1.75}, {}, {Pace: 4}}, []int{1}},
		{"a fast one behind a queue", []Candidate{{Pace: 0.7, SlotUtilization: 3}, {Pace: 1.75}}, []int{1}},
		{"a fast one behind a lossy link", []Candidate{{Pace: 0.7, LinkDelay: time.Second}, {Pace: 1.75}}, []int{1}},
	} {
		got := map[int]bool{}
		for tieBreaker := range uint64(12) {
			i, _ := Place(tt.candidates, Prompt{}, tieBreaker)
			got[i] = true
		}
		want := map[int]bool{}
		for _, i := range tt.want {
			want[i] = true
		}
		if !maps.Equal(got, want) {
			t.Errorf("%s: chose %v, want %v", tt.name, got, want)
		}
	}
}
