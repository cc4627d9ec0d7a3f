package placement

import (
	"fmt"
	"testing"
	"time"
)

func idle(n int) []Candidate {
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
func TestLossyHome(t *testing.T) {
	p := Prompt{
		Home: "part",
	}
	list := idle(4)
	home, _ := Place(list, p, 0)
	list[home].Link = 800 * time.Millisecond
	if got, _ := Place(list, p, 0); got == home {
		t.Error("a prompt stays behind a lossy link")
	}
	for i := range list {
		list[i].Link = 800 * time.Millisecond
	}
	if got, _ := Place(list, p, 0); got != home {
		t.Error("a prompt leaves its home though all links lose packets")
	}
	for i := range list {
		list[i].Link = 0
		list[i].Reading = 3 * time.Second
	}
	list[home].Link = 800 * time.Millisecond
	list[home].Reading = 0
	if got, _ := Place(list, p, 0); got != home {
		t.Error("a prompt waits 3 s for fear of a lossy link")
	}
}

// What has no prompt goes to the least taken, and over a lossy link only where
// the others are much fuller.
func TestPlainRequests(t *testing.T) {
	list := idle(3)
	list[0].Share, list[1].Share, list[2].Share = 0.4, 0.1, 0.3
	if got, from := Place(list, Prompt{}, 7); got != 1 || from != None {
		t.Errorf("placed at %d, copied from %d", got, from)
	}
	list[1].Link = heldUpOnce
	if got, _ := Place(list, Prompt{}, 7); got != 2 {
		t.Errorf("with a lossy link to the least taken placed at %d", got)
	}
	list[0].Share, list[2].Share = 0.9, 0.9
	if got, _ := Place(list, Prompt{}, 7); got != 1 {
		t.Errorf("with full ones beside it placed at %d", got)
	}
}

const heldUpOnce = 100 * time.Millisecond

// Equal ones are told apart by the tie, so that entries spread.
func TestTies(t *testing.T) {
	seen := map[int]bool{}
	for tie := range uint64(30) {
		at, _ := Place(idle(5), Prompt{}, tie)
		seen[at] = true
	}
	if len(seen) != 5 {
		t.Errorf("30 ties choose among %d of 5", len(seen))
	}
}

// One candidate is taken whatever is known of it.
func TestOneCandidate(t *testing.T) {
	list := idle(1)
	list[0].Head, list[0].Reading, list[0].Crowd = time.Minute, time.Minute, 99
	for _, p := range []Prompt{{}, {Home: "part"}} {
		if at, from := Place(list, p, 3); at != 0 || from != None {
			t.Errorf("%+v: placed at %d, copied from %d", p, at, from)
		}
	}
}

// A quarter of the entries may send to an upstream that is cold. With their prompts
// weighed for the others it gets about as many as it is the home of; without, a quarter.
func TestOwnersSendForOthers(t *testing.T) {
	const prompts, upstreams, entries, owners = 4000, 12, 8, 2
	for _, tt := range []struct {
		weight      float64
		least, most float64 // of the cold one's usual part
	}{
		{1, 0.15, 0.35},
		{entries / owners, 0.7, 1.1},
	} {
		cold := 0
		for p := range prompts {
			var candidates []Candidate
			for i := range upstreams {
				c := Candidate{
					ID:    fmt.Sprint("u", i),
					Slots: 8,
				}
				if i == 0 && p%entries >= owners {
					continue
				}
				if i == 0 {
					c.Weight = tt.weight
				}
				candidates = append(candidates, c)
			}
			at, _ := Place(candidates, Prompt{Home: fmt.Sprint("h", p)}, 0)
			if candidates[at].ID == "u0" {
				cold++
			}
		}
		if got := float64(cold) * upstreams / prompts; got < tt.least || got > tt.most {
			t.Errorf("weight %v: the cold one gets %.2f of its part", tt.weight, got)
		}
	}
}
