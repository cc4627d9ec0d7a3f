package dispatch

import (
	"context"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/ledger"
)

// Limits of the ratings for rollouts.
const (
	maxQueuedRatings = 256
	ratingTimeout    = 10 * time.Second
)

// ratingRequest is an answer to be rated for a rollout.
type ratingRequest struct {
	version          persimmoncross.ModelVersion
	organisation     string
	qualityThreshold float64
	question         []byte
	answer           []byte
}

// startSampling starts to copy the answer if it is to be rated for a rollout. An answer that
// a cascade has rated is not rated again.
func (r *execution) startSampling(v persimmoncross.ModelVersion) {
	d := r.dispatcher
	if d.Rater == nil || v.Model == "" || r.alreadyRated || !d.RolloutEvidence.ShouldRate(v) {
		return
	}
	r.ratingSample = &ratingRequest{
		version:          v,
		organisation:     r.request.Organisation.Name,
		qualityThreshold: r.request.Organisation.Quality,
		question:         r.request.Body,
	}
}

func (r *execution) sampleChunk(chunk []byte) {
	if r.ratingSample == nil {
		return
	}
	if len(r.ratingSample.answer)+len(chunk) > ledger.MaxAnswer {
		r.ratingSample = nil
		r.dispatcher.count("rating.refused.toolarge")
		return
	}
	r.ratingSample.answer = append(r.ratingSample.answer, chunk...)
}

// enqueueSample passes the complete answer to RunRatings, or drops it if the queue is full.
func (r *execution) enqueueSample() {
	if r.ratingSample == nil {
		return
	}
	select {
	case r.dispatcher.ratingQueue <- *r.ratingSample:
	default:
		r.dispatcher.count("rating.refused.ringfull")
	}
}

// RunRatings rates answers for rollouts until the context ends.
func (d *Dispatcher) RunRatings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-d.ratingQueue:
			d.rate(ctx, request)
		}
	}
}

func (d *Dispatcher) rate(ctx context.Context, request ratingRequest) {
	ctx, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	value, err := d.Rater.Rate(ctx, request.question, request.answer, request.version)
	if err != nil {
		d.count("rating.failed")
		return
	}
	d.count("rated")
	d.RolloutEvidence.RecordRating(request.version, request.organisation, value < request.qualityThreshold)
}
