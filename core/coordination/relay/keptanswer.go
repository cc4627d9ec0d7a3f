package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/recall"
)

// attemptResources are what an attempt holds until it ends: the response, the slot in the counts,
// the run of its session. They may outlive the attempt as part of a keptAnswer.
type attemptResources struct {
	releases []func()
}

// add adds a function that releases a resource. They are called in reverse order.
func (a *attemptResources) add(release func()) { a.releases = append(a.releases, release) }

// detach moves the resources to a new owner.
func (a *attemptResources) detach() *attemptResources {
	moved := &attemptResources{
		releases: a.releases,
	}
	a.releases = nil
	return moved
}

func (a *attemptResources) release() {
	for i := len(a.releases) - 1; i >= 0; i-- {
		a.releases[i]()
	}
	a.releases = nil
}

// keptAnswer is the response of a smaller model that is read on while a larger model is asked. Its
// Read returns what was received, and then what is still being received.
type keptAnswer struct {
	head       persimmoncross.ProxyResponseHead
	target     *Target
	run        *quarantine.Run
	modelIndex int
	cancel     context.CancelFunc
	resources  *attemptResources
	heldBytes  *atomic.Int64 // bytes of all kept answers of this entry
	maxHeld    int64         // limit of heldBytes

	ended chan struct{} // closed when nothing is received any more

	mu       sync.Mutex // guards all below
	received *sync.Cond // signaled at each change
	buffer   []byte
	readLen  int   // bytes of buffer that Read has returned
	err      error // why the response ended, io.EOF if it is complete; nil while it is being received
}

// errKeptTooLarge ends a kept answer that exceeds its limit.
var errKeptTooLarge = &persimmoncross.AttemptError{
	Reason: "kept-limit",
	Run:    persimmoncross.Ran,
	Detail: "the kept answer exceeds the bytes that may be held",
}

func (k *keptAnswer) Head() persimmoncross.ProxyResponseHead { return k.head }

func (k *keptAnswer) Read(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.readLen == len(k.buffer) && k.err == nil {
		k.received.Wait()
	}
	if n := copy(p, k.buffer[k.readLen:]); n > 0 {
		k.readLen += n
		return n, nil
	}
	return 0, k.err
}

// Close ends the run, unless it has ended, waits until its response is closed, and frees the buffer.
func (k *keptAnswer) Close() error {
	k.fail(context.Canceled)
	k.cancel()
	<-k.ended
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heldBytes.Add(-int64(len(k.buffer)))
	k.buffer, k.readLen = nil, 0
	return nil
}

// fail ends the answer with the error, unless it has ended.
func (k *keptAnswer) fail(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err == nil {
		k.err = err
	}
	k.received.Broadcast()
}

// isComplete reports whether the whole answer was received.
func (k *keptAnswer) isComplete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return errors.Is(k.err, io.EOF)
}

// isUsable reports whether the answer was received completely or is still being received.
func (k *keptAnswer) isUsable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err == nil || errors.Is(k.err, io.EOF)
}

// receive reads the response to its end, and calls onEnd with the reason why it ended, io.EOF if it
// is complete, unless its limits ended it.
func (k *keptAnswer) receive(response io.Reader, onEnd func(err error)) {
	defer close(k.ended)
	defer k.resources.release()
	b := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(b)
	for {
		n, err := response.Read(b[:])
		if n > 0 && !k.append(b[:n]) {
			k.fail(errKeptTooLarge)
			return
		}
		if err != nil {
			onEnd(err)
			k.fail(err)
			return
		}
	}
}

// append adds received bytes and reports whether they are within the limits.
func (k *keptAnswer) append(b []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err != nil || len(k.buffer)+len(b) > recall.MaxKeptAnswer {
		return false
	}
	if k.heldBytes.Add(int64(len(b))) > k.maxHeld {
		k.heldBytes.Add(-int64(len(b)))
		return false
	}
	k.buffer = append(k.buffer, b...)
	k.received.Broadcast()
	return true
}

// keepAnswer reads the response on, of which the escalation to a larger model was just decided, if
// it should end soon. Else the response is dropped with its attempt. On routes that may not run
// twice it is always dropped, so that no two runs are at work at a time.
func (c *call) keepAnswer(ctx context.Context, target *Target, response persimmoncross.ProxyResponse, modelIndex int) {
	r := c.relay
	if c.keptAnswer != nil || !c.shouldKeepAnswer(modelIndex) {
		return
	}
	now := r.Clock.Now()
	model := c.route.Models[modelIndex]
	generation, _ := r.ModelStats.generationTime(c.service, model, c.expectedOutputTokens())
	k := &keptAnswer{
		head:       response.Head(),
		target:     target,
		run:        c.quarantineRun,
		modelIndex: modelIndex,
		cancel:     c.cancelAttempt,
		resources:  c.resources.detach(),
		heldBytes:  &r.keptBytes,
		maxHeld:    int64(recall.KeptFraction * float64(r.Config.Overload.MaxHeldBytes)),
		ended:      make(chan struct{}),
	}
	k.received = sync.NewCond(&k.mu)
	c.keptAnswer = k
	r.incrementCounter("kept.begun")
	metrics.GetOrRegisterGauge("relay.kept.bytes", r.Metrics).Update(r.keptBytes.Load())
	r.logEvent(c.request).Str("upstream", target.Name).Str("model", model).Dur("generation", generation).Msg("answer kept while a larger model is asked")
	tokens := c.expectedOutputTokens()
	resumed := c.lastEventID != ""
	service := c.service
	go k.receive(response, func(err error) {
		end := r.Clock.Now()
		if !errors.Is(err, io.EOF) {
			r.recordRunDisconnect(ctx, k.run, target.Upstream, asAttemptError(err, "cut", persimmoncross.Ran))
			if ctx.Err() == nil {
				target.recordResult(true, end)
			}
			return
		}
		k.run.MarkCompleted(end)
		if !resumed {
			r.ModelStats.recordGeneration(service, model, tokens, end.Sub(now), end)
		}
	})
}

// shouldKeepAnswer reports whether the answer of a smaller model would be kept during an escalation.
func (c *call) shouldKeepAnswer(modelIndex int) bool {
	r := c.relay
	if c.route.Repeat == persimmoncross.RetryNever || c.isQuarantined() || !r.overloadEnabled(persimmoncross.OverloadRecall, c.service) {
		return false
	}
	generation, _ := r.ModelStats.generationTime(c.service, c.route.Models[modelIndex], c.expectedOutputTokens())
	timeToHead, _ := c.estimateLargestModel(r.Clock.Now())
	return recall.ShouldKeep(generation, timeToHead)
}

// dropKeptAnswer ends the kept answer, if there is one.
func (c *call) dropKeptAnswer(why string) {
	k := c.keptAnswer
	if k == nil {
		return
	}
	c.keptAnswer = nil
	c.relay.incrementCounter("kept.dropped")
	c.relay.logEvent(c.request).Str("upstream", k.target.Name).Str("why", why).Msg("kept answer dropped")
	c.closeKeptAnswer(k)
}

func (c *call) closeKeptAnswer(k *keptAnswer) {
	if err := k.Close(); err != nil {
		c.relay.logEvent(c.request).Err(err).Msg("closing a kept answer failed")
	}
	metrics.GetOrRegisterGauge("relay.kept.bytes", c.relay.Metrics).Update(c.relay.keptBytes.Load())
}

// deliverKeptAnswer forwards the kept answer to the caller, of whose response nothing was sent yet.
// It returns false if there is no usable one. The answer is of one run: what was received before is
// followed by what is still being received. If that run is interrupted, the stream may resume with
// its model.
func (c *call) deliverKeptAnswer(ctx context.Context, why string) (result outcome, delivered bool) {
	k, r := c.keptAnswer, c.relay
	if k == nil || c.headSent {
		return outcomeRetry, false
	}
	if !k.isUsable() || callerLeft(ctx) || ctx.Err() != nil && !k.isComplete() {
		c.dropKeptAnswer("unusable")
		return outcomeRetry, false
	}
	c.keptAnswer = nil
	defer c.closeKeptAnswer(k)
	c.endTurn() // a slow caller must not hold up the queue
	r.incrementCounter("kept.delivered")
	r.logEvent(c.request).Str("upstream", k.target.Name).Str("why", why).Bool("complete", k.isComplete()).Dur("after", r.Clock.Now().Sub(c.request.ArrivedAt)).Msg("kept answer delivered")
	c.modelIndex = k.modelIndex
	c.quarantineRun = k.run
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The stall detector cancels this context, which must end the kept run.
	stop := context.AfterFunc(ctx, func() {
		if !k.isComplete() {
			k.fail(context.Canceled)
			k.cancel()
		}
	})
	defer stop()
	detector := c.startStallDetector(ctx, cancel, k.target)
	defer detector.stop()
	detector.recordHead(r.Clock.Now())
	return c.forwardEvents(ctx, k.target, k, detector), true
}

// shouldDeliverKept reports whether the kept answer is delivered in place of the larger model's,
// whose head is pending.
func (c *call) shouldDeliverKept(now time.Time) bool {
	k := c.keptAnswer
	if k == nil || !k.isUsable() {
		return false
	}
	generation := c.relay.ModelStats.recentGenerationTime(c.service, c.modelName(), c.expectedOutputTokens(), now)
	return recall.ShouldDeliverKept(recall.Answer{
		Generation:     generation,
		TimeToDeadline: c.deadline.Sub(now),
	})
}
