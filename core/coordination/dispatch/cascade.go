package dispatch

import (
	"context"
	"errors"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/state/settings"
)

// maxRatedAnswerBytes limits the size of an answer that is buffered until it is rated.
const maxRatedAnswerBytes = 4 << 20

// cascadeRatingTimeout limits how long an answer is held back for its rating.
const cascadeRatingTimeout = 2 * time.Second

// errAnswerTooLarge means that an answer is too large to be buffered for a rating.
var errAnswerTooLarge = errors.New("dispatch: the answer is too large to be buffered for rating")

// runCascade runs the steps from the cheapest to the strongest model until an answer is good
// enough. The answers of all steps but the last are buffered until they are rated, so that
// the caller never receives parts of two answers. A request that must not run twice has one step.
func (o *claimedExecution) runCascade(ctx context.Context) *persimmoncross.Refusal {
	r := o.execution
	quality := r.qualityThreshold()
	for i, step := range o.steps {
		if i < o.firstStep {
			continue
		}
		version, refusal := o.versionForStep(ctx, i, step)
		if refusal != nil {
			return refusal
		}
		stepStart := r.dispatcher.Clock.Now()
		if i == len(o.steps)-1 || r.request.AtMostOnce {
			refusal := r.runStep(ctx, step, version, r)
			r.recordStepDuration(step, stepStart)
			return refusal
		}
		buffered := &bufferedResponse{}
		refusal = r.runStep(ctx, step, version, buffered)
		r.recordStepDuration(step, stepStart)
		if refusal != nil {
			if ctx.Err() != nil {
				return refusal
			}
			r.dispatcher.count("cascade.step.failed")
			continue
		}
		if r.rateAndAccept(ctx, buffered, quality) {
			return buffered.sendTo(r)
		}
		r.dispatcher.count("cascade.climbed")
		r.alreadyRated = false
	}
	return nil
}

// chooseFirstStep returns the index of the step to start with.
func (d *Dispatcher) chooseFirstStep(s *settings.Snapshot, w *Request, steps []persimmoncross.ModelVersion) int {
	if len(steps) == 1 || d.Rater == nil {
		return 0
	}
	list := make([]cascade.Step, len(steps))
	for i, step := range steps {
		list[i] = cascade.Step{
			Model: step.Model,
			Price: s.File.Models[step.Model].Price,
		}
	}
	first := d.CascadeEstimator.FirstStep(w.Organisation.Name, cascade.SizeClass(len(w.Body)), list, w.Deadline.Sub(d.Clock.Now()))
	if first > 0 {
		d.count("cascade.skipped")
	}
	return first
}

func (r *execution) recordStepDuration(step persimmoncross.ModelVersion, startedAt time.Time) {
	r.dispatcher.CascadeEstimator.RecordDuration(step.Model, r.dispatcher.Clock.Now().Sub(startedAt))
}

// versionForStep returns the version for a step and pins the session to it.
func (o *claimedExecution) versionForStep(ctx context.Context, i int, step persimmoncross.ModelVersion) (persimmoncross.ModelVersion, *persimmoncross.Refusal) {
	if i == o.firstStep {
		return o.firstVersion, nil
	}
	r := o.execution
	pin, version, ok := r.dispatcher.choosePin(r.dispatcher.Settings(), r.request, step)
	if !ok {
		return version, r.dispatcher.noVersionRefusal(r.request, step).WithRunStatus(r.runStatus)
	}
	if pin == nil {
		return version, nil
	}
	r.pins = append(r.pins, pin)
	version, refusal := r.dispatcher.commitPin(ctx, r.request, pin)
	if refusal != nil {
		return version, refusal.WithRunStatus(r.runStatus)
	}
	return version, nil
}

func (r *execution) qualityThreshold() float64 {
	c := r.dispatcher.Settings().File.Cascades[r.request.TargetName]
	if c != nil && c.Quality != nil {
		return *c.Quality
	}
	return r.request.Organisation.Quality
}

// rateAndAccept rates a buffered answer and reports whether it is good enough. An answer that
// cannot be rated is not good enough, because the answer of the last step needs no rating.
// Without a rater every answer is good enough.
func (r *execution) rateAndAccept(ctx context.Context, buffered *bufferedResponse, quality float64) bool {
	d := r.dispatcher
	if d.Rater == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, cascadeRatingTimeout)
	defer cancel()
	rating, err := d.Rater.Rate(ctx, r.request.Body, buffered.bytes(), buffered.head.Version)
	if err != nil {
		d.count("cascade.unrated")
		d.CascadeEstimator.RecordRaterFailure()
		return false
	}
	r.alreadyRated = true
	d.RolloutEvidence.RecordRating(buffered.head.Version, r.request.Organisation.Name, rating < quality)
	goodEnough := rating >= quality
	d.CascadeEstimator.RecordRating(r.request.Organisation.Name, cascade.SizeClass(len(r.request.Body)), buffered.head.Version.Model, goodEnough)
	return goodEnough
}

// bufferedResponse is a responseWriter that buffers the answer until sendTo sends it.
type bufferedResponse struct {
	head   persimmoncross.ResponseHead
	chunks [][]byte
	size   int
}

func (h *bufferedResponse) start(head persimmoncross.ResponseHead) error {
	h.head = head
	h.chunks = nil // a retry starts from the beginning
	h.size = 0
	return nil
}

func (h *bufferedResponse) write(chunk []byte) error {
	h.size += len(chunk)
	if h.size > maxRatedAnswerBytes {
		return errAnswerTooLarge
	}
	h.chunks = append(h.chunks, chunk)
	return nil
}

func (h *bufferedResponse) committed() bool { return false }

func (h *bufferedResponse) bytes() []byte {
	var all []byte
	for _, c := range h.chunks {
		all = append(all, c...)
	}
	return all
}

func (h *bufferedResponse) sendTo(r *execution) *persimmoncross.Refusal {
	if r.start(h.head) != nil {
		return r.refuse(persimmoncross.CodeDeadlineExceeded, "the caller is gone")
	}
	for _, c := range h.chunks {
		if r.write(c) != nil {
			return r.refuse(persimmoncross.CodeDeadlineExceeded, "the caller is gone")
		}
	}
	return nil
}
