package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"persimmoncross/io/transport/socket"
)

// Times of serving and of a planned stop.
const (
	// noticeTime is how long a stopping entry serves on: the balancer asks once
	// a second and needs two answers that are not good.
	noticeTime = 2300 * time.Millisecond
	// stopMargin is left of the grace for the last writes, and stopWait for the
	// duties to end.
	stopMargin    = 700 * time.Millisecond
	stopWait      = 200 * time.Millisecond
	headerTimeout = 10 * time.Second
	// idleTimeout is well over what callers are promised by any document.
	idleTimeout = 90 * time.Second
	headerBytes = 64 << 10
)

// Leaving reports whether the process is stopping.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Serve serves callers and readiness until the context ends, and then stops
// without cutting what can still end within the grace.
func (e *Entry) Serve(ctx context.Context, callers, ready http.Handler) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	server, err := e.listen(life, *e.Site.Caller, callers)
	if err != nil {
		return err
	}
	checks, err := e.listen(life, *e.Site.Ready, ready)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(life)
	}()
	e.Log.Info().Str("caller", e.Site.Caller.String()).Msg("serving")
	<-ctx.Done()
	e.Log.Info().Dur("grace", e.Site.Bounds.Grace).Msg("stopping")
	e.leaving.Store(true)
	stopped := e.Clock.Now()
	<-e.Clock.After(noticeTime)
	left := e.Site.Bounds.Grace - stopMargin - e.Clock.Now().Sub(stopped)
	wait, cancel := context.WithTimeout(life, max(left, 0))
	defer cancel()
	err = server.Shutdown(wait)
	server.Close()
	checks.Close()
	end()
	select {
	case <-done:
	case <-e.Clock.After(stopWait): // what is left only waits for peers
	}
	e.Log.Info().Err(err).Msg("stopped")
	return nil
}

// listen serves the handler at the address.
func (e *Entry) listen(ctx context.Context, address netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := socket.Listen().Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, failure("start", Start, err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	go s.Serve(l) // ends with Shutdown or Close
	return s, nil
}

// ServeOperators serves operators until the context ends, and then stops. A call
// that does not end is no reason to fail.
func (c *Controller) ServeOperators(ctx context.Context, h http.Handler) error {
	l, err := socket.Listen().Listen(ctx, "tcp", c.Site.Operator.String())
	if err != nil {
		return failure("start", Start, err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	go s.Serve(l) // ends with Shutdown
	c.Log.Info().Str("operator", c.Site.Operator.String()).Str("member", c.node.VM).Msg("serving")
	closed := make(chan error, 1)
	go func() {
		<-ctx.Done()
		// Calls that are under way are answered while the leadership is handed over.
		wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderWait+stopMargin)
		defer cancel()
		closed <- s.Shutdown(wait)
	}()
	c.Run(ctx)
	if err := <-closed; err != nil {
		c.Log.Warn().Err(err).Msg("an operator's call is cut off")
		s.Close()
	}
	return nil
}
