// Package inbound bounds what a process holds for clients that it does not control: the bytes of their bodies, and
// their connections.
package inbound

import (
	"errors"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/buffers"
)

// Errors of reading a body.
var (
	ErrTooLarge = errors.New("inbound: the body is larger than it may be")
	ErrNoRoom   = errors.New("inbound: too many bytes are held for bodies")
)

// freeBytes is what is read of each body without being counted. The bound on connections covers it.
const freeBytes = 16 << 10

// Bodies bounds the bytes of the bodies that a process holds. The exported fields are set before use.
type Bodies struct {
	Name    string // in metrics
	Clock   persimmoncross.Clock
	Metrics metrics.Registry

	mu     sync.Mutex // guards all below
	bodies buffers.Bodies
	ends   map[*buffers.Body]func()
}

// NewBodies returns a bound of limit bytes, of which large bodies may use as many as largeLimit.
func NewBodies(name string, limit, largeLimit int64, clock persimmoncross.Clock, registry metrics.Registry) *Bodies {
	return &Bodies{
		Name:    name,
		Clock:   clock,
		Metrics: registry,
		bodies: buffers.Bodies{
			Limit:      limit,
			LargeLimit: largeLimit,
		},
		ends: map[*buffers.Body]func(){},
	}
}

// Body is the body of one request. A nil Body counts nothing.
type Body struct {
	of     *Bodies
	body   *buffers.Body
	length int64
}

// Begin adds a body of the length that its head tells, -1 if it tells none. Where the body gives way to another one,
// end is called, which ends a read that waits for more of it. The caller calls Release when the body is not held any
// more.
func (b *Bodies) Begin(length int64, end func()) *Body {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.bodies.Begin(length, b.Clock.Now())
	b.ends[x] = end
	return &Body{
		of:     b,
		body:   x,
		length: length,
	}
}

// HasRoom reports whether the body would have room now if it came at once.
func (x *Body) HasRoom() bool {
	if x == nil || x.length >= 0 && x.length <= freeBytes {
		return true
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	return x.of.bodies.Fits(x.body, x.of.Clock.Now())
}

// MakeRoom ends the body that arrives most slowly, and reports whether there was one that is slow enough for that.
func (b *Bodies) MakeRoom() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	y := b.bodies.Yield(b.Clock.Now())
	var ends []func()
	if y != nil {
		ends = b.takeEnds([]*buffers.Body{y})
	}
	b.mu.Unlock()
	return b.end(ends)
}

// takeEnds returns what ends the bodies. The caller holds mu, and calls the functions without it.
func (b *Bodies) takeEnds(yielded []*buffers.Body) []func() {
	var ends []func()
	for _, y := range yielded {
		ends = append(ends, b.ends[y])
		delete(b.ends, y)
	}
	return ends
}

func (b *Bodies) end(ends []func()) bool {
	for _, end := range ends {
		metrics.GetOrRegisterCounter("inbound."+b.Name+".yielded", b.Metrics).Inc(1)
		end()
	}
	return len(ends) > 0
}

func (x *Body) grow(bytes int64) error {
	if x == nil {
		return nil
	}
	b := x.of
	b.mu.Lock()
	ok, yielded := b.bodies.Grow(x.body, bytes, b.Clock.Now())
	ends := b.takeEnds(yielded)
	b.update()
	b.mu.Unlock()
	b.end(ends)
	if !ok {
		return x.refuse()
	}
	return nil
}

func (x *Body) refuse() error {
	metrics.GetOrRegisterCounter("inbound."+x.of.Name+".refused", x.of.Metrics).Inc(1)
	return ErrNoRoom
}

func (x *Body) received(bytes int64) {
	if x == nil {
		return
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.of.bodies.Received(x.body, bytes, x.of.Clock.Now())
}

// complete reports whether the body, which has arrived, has not given way before.
func (x *Body) complete() bool {
	if x == nil {
		return true
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	return x.of.bodies.Complete(x.body)
}

// yielded reports whether the body has given way.
func (x *Body) yielded() bool {
	if x == nil {
		return false
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	return x.of.bodies.Yielded(x.body)
}

// Release releases what the body holds. More calls do nothing.
func (x *Body) Release() {
	if x == nil {
		return
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.of.bodies.Release(x.body)
	delete(x.of.ends, x.body)
	x.of.update()
}

// update updates the metrics. The caller holds mu.
func (b *Bodies) update() {
	metrics.GetOrRegisterGauge("inbound."+b.Name+".bytes", b.Metrics).Update(b.bodies.Held())
}

// Read reads the whole body, of at most limit bytes. Each part is counted before it is read, by also where that is not
// nil. It returns ErrTooLarge, ErrNoRoom, an error of also, or one of the source: io.ErrUnexpectedEOF if the body ends
// before its length.
func (x *Body) Read(from io.Reader, length int64, limit int, also func(bytes int64) error) ([]byte, error) {
	if length > int64(limit) {
		return nil, ErrTooLarge
	}
	body, err := x.read(from, length, limit, also)
	switch {
	case x.yielded():
		return nil, x.refuse()
	case err != nil:
		return nil, err
	case !x.complete():
		return nil, x.refuse()
	}
	return body, nil
}

func (x *Body) read(from io.Reader, length int64, limit int, also func(bytes int64) error) ([]byte, error) {
	most := int64(limit) + 1 // one more tells that the body is too large
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) && int64(len(body)) < most {
			var err error
			if body, err = x.enlarge(body, most, also); err != nil {
				return nil, err
			}
		}
		if length >= 0 && int64(len(body)) == length {
			return body, nil
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		x.received(int64(n))
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF) && int64(len(body)) == length:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// enlarge returns the body with more room, which is counted before.
func (x *Body) enlarge(body []byte, most int64, also func(bytes int64) error) ([]byte, error) {
	size := min(max(2*int64(cap(body)), freeBytes), most)
	more := size - int64(cap(body))
	if also != nil {
		if err := also(more); err != nil {
			return nil, err
		}
	}
	if counted := size - max(int64(cap(body)), freeBytes); counted > 0 {
		if err := x.grow(counted); err != nil {
			return nil, err
		}
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger, nil
}
