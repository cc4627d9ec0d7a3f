package relay

import "time"

// Cascade decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type Cascade struct {
	Start      int   // index among the route's models, smallest first; past the end: the largest
	Thresholds []int // by model: least confidence, 0 to 100, that an answer needs; none for the largest
}

// first returns the model to begin with.
func (c Cascade) first(models []string) int { return max(min(c.Start, len(models)-1), 0) }

// Of the part of the time left that the larger model needs to begin its answer.
// Up to easyPart the thresholds hold in full; from there they fall to
// fullRelief of themselves where it takes all of the time: an answer that may do
// is then better than one that comes late, and the larger model's time goes to
// the requests that need it most.
const (
	easyPart   = 0.25
	fullRelief = 0.4
)

// endPart is the part of the time to the deadline in which the largest model's
// answer must begin; what is left is for its events. An answer that is there and
// doubtful is better than none.
const endPart = 0.6

// larger returns the model to ask in place of the one whose answer has the
// confidence, or false if the answer is taken. begin is how long the largest
// model takes to begin an answer now, left the time in which it should, and end
// that to the deadline. It is the largest that is asked: a request that one model
// finds hard is seldom easy for the next, and each step costs a prefill.
func (c Cascade) larger(models []string, at, confidence int, begin, left, end time.Duration) (int, bool) {
	last := len(models) - 1
	if at >= last || confidence < 0 || at >= len(c.Thresholds) || float64(begin) > endPart*float64(end) {
		return at, false
	}
	if float64(confidence) >= float64(c.Thresholds[at])*relief(begin, left) {
		return at, false
	}
	return last, true
}

// relief is the factor of the thresholds.
func relief(begin, left time.Duration) float64 {
	if begin <= 0 {
		return 1
	}
	if left <= 0 {
		return fullRelief
	}
	part := float64(begin) / float64(left)
	return 1 - (1-fullRelief)*min(max((part-easyPart)/(1-easyPart), 0), 1)
}
