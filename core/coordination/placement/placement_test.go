package placement

import (
	"fmt"
	"testing"
	"time"
)

func idleCandidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{
			ID:    fmt.Sprint("u", i),
			Slots: 10,
		}
	}
	return list
}

// A prompt leaves a home behind a lossy link where another is idle, stays where
// all links are alike, and waits there rather than for much longer elsewhere.
func TestPreferredUpstreamBehindLossyLink(t *testing.T) {
	p := Prompt{
		PrefixKey: "part",
	}
	candidates := idleCandidates(4)
	preferred, _ := Place(candidates, p, 0)
	candidates[preferred].LinkDelay = 800 * time.Millisecond
	if got, _ := Place(candidates, p, 0); got == preferred {
		t.Error("a prompt stays behind a lossy link")
	}
	for i := range candidates {
		candidates[i].LinkDelay = 800 * time.Millisecond
	}
	if got, _ := Place(candidates, p, 0); got != preferred {
		t.Error("a prompt leaves its home though all links lose packets")
	}
	for i := range candidates {
		candidates[i].LinkDelay = 0
		candidates[i].QueuedPrefillTime = 3 * time.Second
	}
	candidates[preferred].LinkDelay = 800 * time.Millisecond
	candidates[preferred].QueuedPrefillTime = 0
	if got, _ := Place(candidates, p, 0); got != preferred {
		t.Error("a prompt waits 3 s for fear of a lossy link")
	}
}

// What has no prompt goes to the least taken, and over a lossy link only where
// the others are much fuller.
func TestRequestsWithoutPromptGoToLeastLoaded(t *testing.T) {
	candidates := idleCandidates(3)
	candidates[0].SlotUtilization, candidates[1].SlotUtilization, candidates[2].SlotUtilization = 0.4, 0.1, 0.3
	if got, copyFrom := Place(candidates, Prompt{}, 7); got != 1 || copyFrom != NoCandidate {
		t.Errorf("placed at %d, copied from %d", got, copyFrom)
	}
	candidates[1].LinkDelay = lossyLinkDelay
	if got, _ := Place(candidates, Prompt{}, 7); got != 2 {
		t.Errorf("with a lossy link to the least taken placed at %d", got)
	}
	candidates[0].SlotUtilization, candidates[2].SlotUtilization = 0.9, 0.9
	if got, _ := Place(candidates, Prompt{}, 7); got != 1 {
		t.Errorf("with full ones beside it placed at %d", got)
	}
}

const lossyLinkDelay = 100 * time.Millisecond

// Equal ones are told apart by the tie, so that entries spread.
func TestTieBreakerSpreadsRequests(t *testing.T) {
	seen := map[int]bool{}
	for tieBreaker := range uint64(30) {
		target, _ := Place(idleCandidates(5), Prompt{}, tieBreaker)
		seen[target] = true
	}
	if len(seen) != 5 {
		t.Errorf("30 ties choose among %d of 5", len(seen))
	}
}

// One candidate is taken whatever is known of it.
func TestSingleCandidate(t *testing.T) {
	candidates := idleCandidates(1)
	candidates[0].TimeToFirstToken, candidates[0].QueuedPrefillTime, candidates[0].InflightRequests = time.Minute, time.Minute, 99
	for _, p := range []Prompt{{}, {PrefixKey: "part"}} {
		if target, copyFrom := Place(candidates, p, 3); target != 0 || copyFrom != NoCandidate {
			t.Errorf("%+v: placed at %d, copied from %d", p, target, copyFrom)
		}
	}
}

// A quarter of the entries may send to an upstream that is cold. With their prompts
// weighed for the others it gets about as many as it is the home of; without, a quarter.
func TestHashWeightOffsetsEntriesThatDoNotSend(t *testing.T) {
	const prompts, upstreams, entries, senders = 4000, 12, 8, 2
	for _, tt := range []struct {
		hashWeight         float64
		minShare, maxShare float64 // of the cold one's usual part
	}{
		{1, 0.15, 0.35},
		{entries / senders, 0.7, 1.1},
	} {
		coldRequests := 0
		for p := range prompts {
			var candidates []Candidate
			for i := range upstreams {
				c := Candidate{
					ID:    fmt.Sprint("u", i),
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
			if candidates[target].ID == "u0" {
				coldRequests++
			}
		}
		if got := float64(coldRequests) * upstreams / prompts; got < tt.minShare || got > tt.maxShare {
			t.Errorf("weight %v: the cold one gets %.2f of its part", tt.hashWeight, got)
		}
	}
}
