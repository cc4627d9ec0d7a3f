package buffers

import "time"

// Parameters of [Bodies].
const (
	// smallBody is up to which size a body may use the whole limit.
	smallBody = 256 << 10
	// rateWindow is over how long the rate is measured at which a body arrives. One of which less than minRate bytes
	// arrive in it gives way to another one: at that rate the largest body takes over a minute.
	rateWindow = time.Second
	minRate    = 64 << 10
)

// Bodies decides which request bodies may grow within one limit. What a body holds is counted while it arrives, so that
// an announced length takes no room. Bodies is not safe for concurrent use.
type Bodies struct {
	Limit int64 // in bytes
	// LargeLimit is up to how many bytes in all a larger body may grow, so that such bodies don't keep out ordinary ones.
	LargeLimit int64

	held       int64
	incomplete map[*Body]bool
}

// Body is the body of one request.
type Body struct {
	expected    int64 // length, -1 if it is not known
	held        int64
	windowStart time.Time // of the current window in which the rate is measured
	windowBytes int64
	lastBytes   int64 // that arrived in the window before
	measured    bool  // a window has ended
	yielded     bool
}

// Begin adds a body of the expected length, -1 if that is not known.
func (b *Bodies) Begin(expected int64, now time.Time) *Body {
	x := &Body{
		expected:    expected,
		windowStart: now,
	}
	if b.incomplete == nil {
		b.incomplete = map[*Body]bool{}
	}
	b.incomplete[x] = true
	return x
}

// Fits reports whether a body of the expected length would have room now if it came at once.
func (b *Bodies) Fits(x *Body, now time.Time) bool {
	return b.fits(x, max(x.expected-x.held, 0)) || b.slowest(x, now) != nil
}

// Grow counts more bytes of the body, and reports whether there is room for them. For their sake the bodies in yielded
// hold nothing any more; what was read of them must be dropped.
func (b *Bodies) Grow(x *Body, bytes int64, now time.Time) (ok bool, yielded []*Body) {
	for !x.yielded && !b.fits(x, bytes) {
		y := b.slowest(x, now)
		if y == nil {
			return false, yielded
		}
		b.yield(y)
		yielded = append(yielded, y)
	}
	if x.yielded {
		return false, yielded
	}
	x.held += bytes
	b.held += bytes
	return true, yielded
}

// Yield ends the body that arrives most slowly, if one is slow enough for that.
func (b *Bodies) Yield(now time.Time) *Body {
	x := b.slowest(nil, now)
	if x != nil {
		b.yield(x)
	}
	return x
}

func (b *Bodies) yield(x *Body) {
	b.Release(x)
	x.yielded = true
}

// fits reports whether the body may hold more bytes. One that is alone may.
func (b *Bodies) fits(x *Body, bytes int64) bool {
	if bytes == 0 || b.held == x.held {
		return true
	}
	limit := b.Limit
	if max(x.expected, x.held+bytes) > smallBody {
		limit = b.LargeLimit
	}
	return b.held+bytes <= limit
}

// slowest returns the incomplete body that arrives most slowly and below minRate, of equal ones the one that holds
// most; nil if there is none beside x.
func (b *Bodies) slowest(x *Body, now time.Time) *Body {
	var slowest *Body
	least := int64(minRate)
	for y := range b.incomplete {
		rate, known := y.rate(now)
		if y == x || !known || rate >= minRate {
			continue
		}
		if slowest == nil || rate < least || rate == least && y.held > slowest.held {
			slowest, least = y, rate
		}
	}
	return slowest
}

// Received records that bytes of the body have arrived.
func (b *Bodies) Received(x *Body, bytes int64, now time.Time) {
	x.advance(now)
	x.windowBytes += bytes
}

// advance begins a new window if the current one has ended.
func (x *Body) advance(now time.Time) {
	elapsed := now.Sub(x.windowStart)
	if elapsed < rateWindow {
		return
	}
	x.lastBytes, x.measured = x.windowBytes, true
	x.windowBytes = 0
	x.windowStart = x.windowStart.Add(rateWindow)
	if elapsed >= 2*rateWindow { // nothing arrived in the last one
		x.lastBytes = 0
		x.windowStart = now
	}
}

// rate returns how many bytes arrived in the last window. It is not known before the first one has ended.
func (x *Body) rate(now time.Time) (bytes int64, known bool) {
	x.advance(now)
	return x.lastBytes, x.measured
}

// Complete records that the whole body has arrived, and reports false if it has yielded before. A complete body does
// not yield.
func (b *Bodies) Complete(x *Body) bool {
	delete(b.incomplete, x)
	return !x.yielded
}

// Yielded reports whether the body has yielded.
func (b *Bodies) Yielded(x *Body) bool { return x.yielded }

// Release releases what the body holds. More calls do nothing.
func (b *Bodies) Release(x *Body) {
	delete(b.incomplete, x)
	b.held -= x.held
	x.held = 0
}

// Held returns the bytes that all bodies hold.
func (b *Bodies) Held() int64 { return b.held }
