package dispatch

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"persimmoncross"
)

// maxSharedResponseBytes limits the bytes of one running answer that are buffered. Above the
// limit the run waits for its readers, and chunks that all readers have read are dropped, so
// that the memory for a long answer stays bounded. A reader that starts after that is
// refused.
const maxSharedResponseBytes = 1 << 20

// sharedResponses holds the answers of the requests with an idempotency key that run in this
// process.
type sharedResponses struct {
	mu    sync.Mutex // guards byKey
	byKey map[[2]string]*sharedResponse
}

// getOrCreate returns the request's shared response and whether it was created by this call.
// It returns nil if the idempotency key belongs to a different request.
func (r *sharedResponses) getOrCreate(w *Request) (response *sharedResponse, created bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[[2]string]*sharedResponse{}
	}
	id := [2]string{w.Organisation.Name, w.IdempotencyKey}
	if response = r.byKey[id]; response != nil {
		if !bytes.Equal(response.requestDigest, w.idempotencyDigest()) {
			return nil, false
		}
		return response, false
	}
	response = &sharedResponse{
		requestDigest: w.idempotencyDigest(),
		changed:       make(chan struct{}),
		readers:       map[*int]bool{},
	}
	r.byKey[id] = response
	return response, true
}

func (r *sharedResponses) find(organisation, key string) *sharedResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[[2]string{organisation, key}]
}

func (r *sharedResponses) close(w *Request, response *sharedResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := [2]string{w.Organisation.Name, w.IdempotencyKey}
	if r.byKey[id] == response {
		delete(r.byKey, id)
	}
}

// sharedResponse is a [persimmoncross.ResponseSink] whose content any number of callers can
// read from the beginning.
type sharedResponse struct {
	requestDigest []byte

	mu              sync.Mutex // guards all fields below
	head            *persimmoncross.ResponseHead
	chunks          [][]byte
	discardedChunks int           // number of discarded chunks, which preceded chunks
	bufferedBytes   int           // total size of chunks
	readers         map[*int]bool // index of each reader's next chunk
	ended           bool
	refusal         *persimmoncross.Refusal
	changed         chan struct{} // closed and replaced on each change
}

// Start implements [persimmoncross.ResponseSink].
func (r *sharedResponse) Start(h persimmoncross.ResponseHead) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &h
	r.broadcast()
	return nil
}

// Write implements [persimmoncross.ResponseSink].
func (r *sharedResponse) Write(chunk []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.bufferedBytes > maxSharedResponseBytes && !r.discardConsumed() {
		changed := r.changed
		r.mu.Unlock()
		<-changed
		r.mu.Lock()
	}
	r.chunks = append(r.chunks, chunk)
	r.bufferedBytes += len(chunk)
	r.broadcast()
	return nil
}

// End implements [persimmoncross.ResponseSink].
func (r *sharedResponse) End(refusal *persimmoncross.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.refusal = refusal
	r.broadcast()
}

func (r *sharedResponse) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// discardConsumed drops the chunks that every reader has read, or all chunks if there are no
// readers. It reports whether the buffer is within its limit again.
func (r *sharedResponse) discardConsumed() bool {
	minNext := r.discardedChunks + len(r.chunks)
	for next := range r.readers {
		minNext = min(minNext, *next)
	}
	for r.discardedChunks < minNext {
		r.bufferedBytes -= len(r.chunks[0])
		r.chunks[0] = nil
		r.chunks = r.chunks[1:]
		r.discardedChunks++
	}
	return r.bufferedBytes <= maxSharedResponseBytes
}

// streamTo sends the answer to the sink from its first chunk, as it is received.
func (r *sharedResponse) streamTo(ctx context.Context, sink persimmoncross.ResponseSink) {
	next := 0
	r.mu.Lock()
	if r.discardedChunks > 0 {
		r.mu.Unlock()
		sink.End(responseLostRefusal())
		return
	}
	r.readers[&next] = true
	r.mu.Unlock()
	defer r.removeReader(&next)
	started := false
	for {
		chunks, head, ended, refusal, changed := r.read(&next)
		if head != nil && !started {
			started = true
			if sink.Start(*head) != nil {
				return
			}
		}
		for _, c := range chunks {
			if sink.Write(c) != nil {
				return
			}
		}
		if ended && len(chunks) == 0 {
			sink.End(refusal)
			return
		}
		if len(chunks) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			sink.End(persimmoncross.NewRefusal(persimmoncross.CodeDeadlineExceeded, "the caller went away").WithRunStatus(persimmoncross.RunUnknown))
			return
		}
	}
}

func (r *sharedResponse) read(next *int) (chunks [][]byte, head *persimmoncross.ResponseHead, ended bool, refusal *persimmoncross.Refusal, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The chunks are cloned because discardConsumed may drop them before the reader has
	// sent them.
	chunks = slices.Clone(r.chunks[*next-r.discardedChunks:])
	*next += len(chunks)
	if len(chunks) > 0 && r.bufferedBytes > maxSharedResponseBytes {
		r.broadcast() // Write may be waiting for this reader
	}
	return chunks, r.head, r.ended, r.refusal, r.changed
}

func (r *sharedResponse) removeReader(next *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, next)
	r.broadcast()
}

func responseLostRefusal() *persimmoncross.Refusal {
	return persimmoncross.NewRefusal(persimmoncross.CodeAnswerLost, "the request ran and is billed, but its answer is no longer kept").WithRunStatus(persimmoncross.Ran)
}
