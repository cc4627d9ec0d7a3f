package cascade

import "time"

// Confidence decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type Confidence struct {
	Start      int   // index among the route's models, smallest first; past the end: the largest
	Thresholds []int // by model: least confidence, 0 to 100, that an answer needs; none for the largest
}

// Of the relief of the thresholds under load. Its measure is the queue: what the
// larger model takes to begin beyond reading this prompt, as a part of the time
// left. Up to easyPart the thresholds hold in full; from there they fall to
// fullRelief of themselves where the queue takes all of the time: the larger
// model's time goes to the requests that need it most. A long prompt by itself
// is no load: it is worth as much more as it takes to be read. With its reading
// counted as load, the largest tenth of a kind was answered in time and badly:
// 0.83 of its worth, where the kind had 0.96; without, the worst class gained
// 0.020 and 0.032 (each 20 pairs of days, errors 0.007 and 0.012). A queue that
// counts from 0.1 on and in full at 0.6, or from 0 to 0.4, gained half of that.
const (
	easyPart   = 0.2
	fullRelief = 0.4
)

// timelyPart is the part of the time left within which the larger model must be
// expected to begin; past it the answer would come late, and one that may do is
// better than that: full relief.
const timelyPart = 0.9

// endPart is the part of the time to the deadline in which the largest model's
// answer must begin; what is left is for its events. An answer that is there and
// doubtful is better than none.
const endPart = 0.6

// Doubt is what is known when an answer's head has come.
type Doubt struct {
	Model      int           // index of the one that answers
	Confidence int           // 0 to 100, negative if not told
	Begin      time.Duration // that the largest model takes to begin an answer now
	Reading    time.Duration // of that, to read this prompt
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
	if float64(d.Confidence) >= float64(c.Thresholds[d.Model])*d.relief() {
		return d.Model, false
	}
	return last, true
}

// relief is the factor of the thresholds.
func (d Doubt) relief() float64 {
	if d.Begin <= 0 {
		return 1
	}
	if float64(d.Begin) > timelyPart*float64(d.Left) {
		return fullRelief
	}
	part := float64(d.Begin-d.Reading) / float64(d.Left)
	return 1 - (1-fullRelief)*min(max((part-easyPart)/(1-easyPart), 0), 1)
}
