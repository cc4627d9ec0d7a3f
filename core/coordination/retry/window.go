// Package retry bounds retries as a share of the traffic, so that a failing
// pool is not asked again by all at once.
package retry

import "time"

// slices is the number of parts in which a window moves on.
const slices = 20

// Window bounds the retries in any span of its length by what the requests in it
// bring. What a calm span has left is there at once for the many requests that one lost
// upstream cuts, where a bucket would hold a few. It has no lock and no clock; the caller guards it.
type Window struct {
	Length time.Duration // of the span
	Spare  float64       // retries allowed beside what the requests bring
	Floor  float64       // retries allowed at least, however few requests came

	began   time.Time // of the newest slice
	brought [slices]float64
	retries [slices]int
	newest  int
}

// Request counts a request, which brings a share of a retry.
func (w *Window) Request(share float64, now time.Time) {
	w.move(now)
	w.brought[w.newest] += share
}

// Retry counts a retry, and reports whether it may be made; one that may not is
// not counted.
func (w *Window) Retry(now time.Time) bool {
	if w.Left(now) < 1 {
		return false
	}
	w.retries[w.newest]++
	return true
}

// Left returns how many retries are left now.
func (w *Window) Left(now time.Time) float64 {
	w.move(now)
	_, retries := w.sums()
	return w.Allowed(now) - float64(retries)
}

// Allowed returns how many retries the span up to now may hold.
func (w *Window) Allowed(now time.Time) float64 {
	w.move(now)
	brought, _ := w.sums()
	return max(w.Spare+brought, w.Floor)
}

func (w *Window) sums() (brought float64, retries int) {
	for i := range slices {
		brought += w.brought[i]
		retries += w.retries[i]
	}
	return brought, retries
}

// move forgets what is older than the span. The oldest slice goes as a whole, so
// that the span is never longer than its length.
func (w *Window) move(now time.Time) {
	step := max(w.Length/slices, 1)
	if w.began.IsZero() {
		w.began = now
	}
	for range slices {
		if now.Sub(w.began) < step {
			return
		}
		w.began = w.began.Add(step)
		w.newest = (w.newest + 1) % slices
		w.brought[w.newest] = 0
		w.retries[w.newest] = 0
	}
	if now.Sub(w.began) >= step {
		w.began = now // nothing came for longer than the span
	}
}
