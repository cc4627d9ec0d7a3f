package bench

import (
	"strings"
	"testing"
)

// benchSeed is the seed of every experiment in CI.
const benchSeed = 42

// TestBounds runs each experiment as CI does and wants its bounds held.
func TestBounds(t *testing.T) {
	for _, c := range Cases() {
		if c.Name() == (doubtsCase{}).Name() {
			continue // see TestBoundsOfDoubts
		}
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			checkBounds(t, c)
		})
	}
}

// TestBoundsOfDoubts is TestBounds for the experiment with doubted answers.
func TestBoundsOfDoubts(t *testing.T) { checkBounds(t, doubtsCase{}) }

func checkBounds(t *testing.T, c Case) {
	r := c.Run(benchSeed, 1)
	var text strings.Builder
	r.Print(&text)
	t.Log("\n" + text.String())
	for _, b := range r.Broken() {
		t.Errorf("%s: %g, bound %g", b.Name, b.Value, b.Most)
	}
}
