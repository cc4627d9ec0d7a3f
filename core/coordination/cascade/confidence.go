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
// of the time. With nobody there a long prompt is no load: counted whatever the crowd,
// its reading would have the longest prompts answered in time and badly; not counted
// at all, crowded upstreams would stand for seconds.
const (
	easyPart   = 0.2
	fullRelief = 0.4
	// crowdFull is the part of the slots taken from which a reading counts in full.
	crowdFull = 0.5
)

// standPart of the objective is the longest reading of a prompt whose answer would
// be late: whoever is at the upstream stands for that time. It answers sites whose
// largest model reads the longest prompts for twice the objective. What is late is what
// begins past the time left.
const standPart = 0.5

// endPart is the part of the time to the deadline in which the largest model's
// answer must begin; what is left is for its events. An answer that is there and
// doubtful is better than none.
const endPart = 0.6

// Of the retries that a window allows, a larger model is asked for a doubtful answer
// with no fewer left than keptRetries: they are for failures. Of 74 entries one has about
// 36 in its window, and up to 10 streams on upstreams that end together, as at the
// completion of an upgrade.
//
// From scarceRetries down to that the thresholds fall to nothing, so that the last
// retries go to the answers that are doubted most.
//
// With ampleRetries left a retry has no price: about that is left in calm where a
// request brings 0.86 of a retry and two of five answers are doubted.
const (
	keptRetries   = 0.25
	scarceRetries = 0.4
	ampleRetries  = 0.5
)

// dearRetry is the part of the objective that a retry is worth, in reading time of
// upstreams, where only those for failures are left.
const dearRetry = 0.08

// mostDoubted bounds what is taken for doubted, so that long prompts go on asking the
// smaller model, and it is seen when it answers better.
const mostDoubted = 0.8

// Outset is what is known before a request's first attempt.
type Outset struct {
	Doubted   float64       // part of the smaller model's answers that the larger one was to make
	Begin     time.Duration // that the largest model takes to begin an answer now
	Reading   time.Duration // of that, to read this prompt; 0: not known
	Crowd     float64       // part of the upstreams' slots that are taken
	Objective time.Duration // in which the route's answers should begin
	Retries   float64       // part of those that a window allows that are left
}

// room is 1 where nobody waits for the largest model, 0 from where thresholds are
// relieved for the load: a fleet short of upstreams has no reading to spare.
func (o Outset) room() float64 {
	return 1 - min(load(o.Begin, o.Reading, o.Crowd, o.Objective)/easyPart, 1)
}

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
	Retries    float64       // part of those that a window allows that are left
}

// Doubted reports whether the model's answer falls short of what operators ask of
// it, whatever the load.
func (c Confidence) Doubted(models []string, model, confidence int) bool {
	return model < len(models)-1 && model < len(c.Thresholds) && confidence >= 0 && confidence < c.Thresholds[model]
}

// First returns the model to begin with: the smallest that operators allow, or the
// largest where retries run short and it has room. Beginning small saves the largest
// model's reading for the answers that are taken, and costs a retry for each that is
// not; the reading that is saved is held against the retries.
func (c Confidence) First(models []string, o Outset) int {
	last := len(models) - 1
	first := max(min(c.Start, last), 0)
	price := retryPrice(o.Retries) * o.room()
	if first >= last || o.Reading <= 0 || price <= 0 {
		return first
	}
	doubted := min(o.Doubted, mostDoubted)
	if (1-doubted)*o.Reading.Seconds() <= doubted*price*o.Objective.Seconds() {
		return last
	}
	return first
}

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
	if float64(d.Confidence) >= float64(c.Thresholds[d.Model])*d.relief()*spared(d.Retries) {
		return d.Model, false
	}
	return last, true
}

// spared is the factor of the thresholds where retries run short.
func spared(left float64) float64 {
	return min(max((left-keptRetries)/(scarceRetries-keptRetries), 0), 1)
}

// retryPrice is the part of the objective that a retry is worth.
func retryPrice(left float64) float64 {
	return dearRetry * min(max((ampleRetries-left)/(ampleRetries-keptRetries), 0), 1)
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
	part := load(d.Begin, d.Reading, d.Crowd, d.Left)
	return 1 - (1-fullRelief)*min(max((part-easyPart)/(1-easyPart), 0), 1)
}

// load is the part of the time left that a request waits for the largest model, and
// makes others wait.
func load(begin, reading time.Duration, crowd float64, left time.Duration) float64 {
	queue := max(float64(begin-reading)/float64(left), 0)
	return queue + float64(reading)/float64(left)*min(crowd/crowdFull, 1)
}
