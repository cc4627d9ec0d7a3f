package relay

// Cascade decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type Cascade struct {
	Start      int   // index among the route's models, smallest first; past the end: the largest
	Thresholds []int // by model: least confidence, 0 to 100, that an answer needs; none for the largest
}

// first returns the model to begin with.
func (c Cascade) first(models []string) int { return max(min(c.Start, len(models)-1), 0) }

// larger returns the model to ask in place of the one whose answer has the
// confidence, or false if the answer is taken. It is the largest: a request
// that one model finds hard is seldom easy for the next, and each step costs
// a prefill.
func (c Cascade) larger(models []string, at, confidence int) (int, bool) {
	last := len(models) - 1
	if at >= last || confidence < 0 || at >= len(c.Thresholds) || confidence >= c.Thresholds[at] {
		return at, false
	}
	return last, true
}
