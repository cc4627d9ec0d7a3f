package relay

// Cascade decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type Cascade struct {
	Start     int // index among the route's models, smallest first; past the end: the largest
	Threshold int // least confidence, 0 to 100, that an answer of a smaller model needs
}

// first returns the model to begin with.
func (c Cascade) first(models []string) int { return min(c.Start, len(models)-1) }

// larger returns the next model to ask, or false if the answer is taken.
func (c Cascade) larger(models []string, at, confidence int) (int, bool) {
	last := len(models) - 1
	if at >= last || confidence < 0 || confidence >= c.Threshold {
		return at, false
	}
	return last, true
}

// DefaultCascade begins with the largest model.
var DefaultCascade = Cascade{
	Start:     2,
	Threshold: 0,
}
