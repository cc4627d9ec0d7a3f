package persimmoncross

import "context"

// OwnWork measures how long an entry works on a request before it hands it to an upstream, without the times in which the
// entry waits for others. Calls of its methods on one value don't overlap.
type OwnWork interface {
	// Pause records that the entry waits for the caller or for an upstream.
	Pause()
	// Resume records that the entry works on the request again.
	Resume()
	// End records that the request was handed to an upstream. More calls do nothing.
	End()
}

// ownWorkKey is the key of a context's OwnWork.
type ownWorkKey struct{}

// WithOwnWork returns a context whose requests are measured by w.
func WithOwnWork(ctx context.Context, w OwnWork) context.Context {
	return context.WithValue(ctx, ownWorkKey{}, w)
}

// OwnWorkOf returns what measures the context's request, or one that measures nothing.
func OwnWorkOf(ctx context.Context) OwnWork {
	if w, ok := ctx.Value(ownWorkKey{}).(OwnWork); ok {
		return w
	}
	return unmeasured{}
}

// unmeasured is an OwnWork that measures nothing.
type unmeasured struct{}

// Pause implements [OwnWork].
func (unmeasured) Pause() {}

// Resume implements [OwnWork].
func (unmeasured) Resume() {}

// End implements [OwnWork].
func (unmeasured) End() {}
