package cascade

import "time"

// Confidence decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type Confidence struct {
	Start      int   // index among the route's models, smallest first; past the end: the largest
	Thresholds []int // by model: least confidence, 0 to 100, that an answer needs; none for the largest
}

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

// Doubt is what is known when an answer's head has come.
type Doubt struct {
	Model      int           // index of the one that answers
	Confidence int           // 0 to 100, negative if not told
	Begin      time.Duration // that the largest model takes to begin an answer now
	Left       time.Duration // in which it should begin
	End        time.Duration // to the deadline
}

// First returns the model to begin with.
func (c Confidence) First(models []string) int { return max(min(c.Start, len(models)-1), 0) }

// Larger returns the model to ask in place of the one that answers, or false if
// its answer is taken. It is the largest that is asked: a request that one model
// finds hard is seldom easy for the next, and each step costs a prefill.
func (c Confidence) Larger(models []string, d Doubt) (int, bool) {
	last := len(models) - 1
	if d.Model >= last || d.Confidence < 0 || d.Model >= len(c.Thresholds) || float64(d.Begin) > endPart*float64(d.End) {
		return d.Model, false
	}
	if float64(d.Confidence) >= float64(c.Thresholds[d.Model])*relief(d.Begin, d.Left) {
		return d.Model, false
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
