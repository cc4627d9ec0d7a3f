package cascade

import "time"

// Confidence decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type Confidence struct {
	Start      int   // index among the route's models, smallest first; past the end: the largest
	Thresholds []int // by model: least confidence, 0 to 100, that an answer needs; none for the largest
}

// Of the relief of the thresholds under load. Its measure is the part of the time
// left that the request waits, and makes others wait: the queue before the larger
// model begins, and the reading of this prompt as far as the upstreams are
// crowded, since whoever is there stands meanwhile. Up to easyPart the thresholds
// hold in full; from there they fall to fullRelief of themselves where it is all
// of the time. With nobody there a long prompt is no load: with its reading counted
// whatever the crowd, the largest tenth of a kind was answered in time and badly,
// 0.83 of its worth, where the kind had 0.96; with it not counted at all, crowded
// upstreams stood for seconds, and the shorter kinds lost 0.01. As it is the worst
// class gained 0.033 on one site (20 pairs of trouble days, error 0.011).
const (
	easyPart   = 0.2
	fullRelief = 0.4
	// crowdFull is the part of the slots taken from which a reading counts in full.
	crowdFull = 0.5
)

// standPart of the objective is the longest reading of a prompt whose answer would
// be late: whoever is at the upstream stands for that time. Where the largest model
// reads the longest prompts for twice the objective, calm days gained 0.017 (10
// pairs, error 0.007) and had 33 late answers less of 2,100; half of it made no
// difference. What is late is what begins past the time left: taking it for late
// from 0.7 of that on cost 0.008 to 0.026, from 0.9 on 0 to 0.010.
const standPart = 0.5

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
	Crowd      float64       // part of the upstreams' slots that are taken
	Left       time.Duration // in which it should begin
	Objective  time.Duration // that the route has for that
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
	if !d.timely() && float64(d.Reading) > standPart*float64(d.Objective) {
		return d.Model, false
	}
	if float64(d.Confidence) >= float64(c.Thresholds[d.Model])*d.relief() {
		return d.Model, false
	}
	return last, true
}

// timely reports whether the larger model is expected to begin in time.
func (d Doubt) timely() bool { return d.Begin <= d.Left }

// relief is the factor of the thresholds.
func (d Doubt) relief() float64 {
	if d.Begin <= 0 {
		return 1
	}
	if !d.timely() {
		return fullRelief
	}
	queue := max(float64(d.Begin-d.Reading)/float64(d.Left), 0)
	reading := float64(d.Reading) / float64(d.Left)
	part := queue + reading*min(d.Crowd/crowdFull, 1)
	return 1 - (1-fullRelief)*min(max((part-easyPart)/(1-easyPart), 0), 1)
}
