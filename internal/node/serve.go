package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/io/transport/socket"
)

// Timeouts and limits of serving and of a planned stop.
const (
	// readinessNoticePeriod is how long a stopping entry keeps accepting requests: the load
	// balancer checks readiness once a second and needs two failed checks.
	readinessNoticePeriod = 2300 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the last writes.
	// loopStopTimeout limits the wait for the loops to end.
	// lastAnswersTime is the part before it in which requests without a response get their refusals.
	shutdownMargin  = 700 * time.Millisecond
	lastAnswersTime = 300 * time.Millisecond
	loopStopTimeout = 200 * time.Millisecond
	headerTimeout   = 10 * time.Second
	// idleTimeout is well above the timeouts that documents promise to callers.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	// maxUnreadBytes limits what the kernel holds for a caller that reads slowly, and what it holds of a caller's bytes that
	// are not read; the kernel doubles
	// it for its own use, and would grow its buffers to megabytes otherwise. It is several round trips' worth of
	// an entry's link within a region.
	maxUnreadBytes = 32 << 10
	// maxUnreadDocument is the same for what an operator sends.
	maxUnreadDocument = 64 << 10
)

// IsStopping reports whether the process is stopping.
func (e *Entry) IsStopping() bool { return e.stopping.Load() }

// Serve serves callers and the readiness endpoint until the context ends. It then stops without
// cutting off requests that can complete within the grace period.
func (e *Entry) Serve(ctx context.Context, callers, ready http.Handler) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var unanswered atomic.Int64
	callerServer, err := e.serveCallers(runCtx, countInFlight(callers, &unanswered))
	if err != nil {
		return err
	}
	readyListener, err := socket.ListenUnread(maxUnreadBytes).Listen(runCtx, "tcp", e.Site.Ready.String())
	if err != nil {
		return newError("start", StartFailed, err)
	}
	readyServer := newServer(ready)
	newConnections(readyPart, e.Site, e.Clock, e.Metrics, e.Log).Bind(readyServer)
	go readyServer.Serve(readyListener) // ends with Shutdown or Close
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(runCtx)
	}()
	e.Log.Info().Str("caller", e.Site.Caller.String()).Msg("serving")
	<-ctx.Done()
	e.Log.Info().Dur("grace", e.Site.Bounds.Grace).Msg("stopping")
	stopped := e.Clock.Now()
	e.relay.BeginStop(stopped.Add(e.Site.Bounds.Grace - shutdownMargin - lastAnswersTime))
	e.stopping.Store(true)
	e.detours.Stop()
	<-e.Clock.After(readinessNoticePeriod)
	remaining := e.Site.Bounds.Grace - shutdownMargin - e.Clock.Now().Sub(stopped)
	shutdownCtx, cancel := context.WithTimeout(runCtx, max(remaining, 0))
	defer cancel()
	go func() {
		select {
		case <-shutdownCtx.Done():
		case <-e.Clock.After(max(remaining-lastAnswersTime, 0)):
		}
		e.relay.EndUnanswered()
	}()
	err = callerServer.Shutdown(shutdownCtx)
	e.detours.Drain(shutdownCtx)
	cut := unanswered.Load()
	callerServer.Close()
	readyServer.Close()
	stop()
	select {
	case <-done:
	case <-e.Clock.After(loopStopTimeout): // the remaining goroutines only wait for peers
	}
	e.Log.Info().Err(err).Int64("cut", cut).Msg("stopped")
	return nil
}

// countInFlight returns a handler that counts the requests which h serves now.
func countInFlight(h http.Handler, inFlight *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// serveCallers serves callers at the site's address.
func (e *Entry) serveCallers(ctx context.Context, h http.Handler) (*http.Server, error) {
	listener, err := e.gate.listen(ctx, *e.Site.Caller)
	if err != nil {
		return nil, newError("start", StartFailed, err)
	}
	server := newServer(measureOwnWork(h))
	server.ConnState = e.gate.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		k, ok := c.(*gatedConn)
		if !ok {
			return ctx
		}
		return persimmoncross.WithOwnWork(e.limitUnread(ctx, k.Conn), k)
	}
	connections := e.newCallerConnections()
	connections.Bind(server)
	go connections.Sweep(ctx, e.gate.connectionTimes)
	go server.Serve(listener) // ends with Shutdown or Close
	return server, nil
}

// limitUnread limits what the kernel holds for a caller, where held bytes are counted.
func (e *Entry) limitUnread(ctx context.Context, conn net.Conn) context.Context {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || !e.Overload.Enabled(persimmoncross.OverloadBuffers, false) {
		return ctx
	}
	if err := tcp.SetWriteBuffer(maxUnreadBytes); err != nil {
		e.Log.Warn().Err(err).Msg("the kernel's buffer for a caller could not be limited")
	}
	return ctx
}

// newServer returns the server of a handler.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeOperators serves operators until the context ends, and then stops. An operator's request
// that does not complete is not reported as an error.
func (c *Controller) ServeOperators(ctx context.Context, h http.Handler) error {
	listener, err := socket.ListenUnread(maxUnreadDocument).Listen(ctx, "tcp", c.Site.Operator.String())
	if err != nil {
		return newError("start", StartFailed, err)
	}
	server := newServer(h)
	newConnections(operatorPart, c.Site, c.Clock, c.Metrics, c.Log).Bind(server)
	go server.Serve(listener) // ends with Shutdown
	c.Log.Info().Str("operator", c.Site.Operator.String()).Str("member", c.node.VM).Msg("serving")
	closed := make(chan error, 1)
	go func() {
		<-ctx.Done()
		// Requests in flight are answered while the leadership is transferred.
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposalTimeout+shutdownMargin)
		defer cancel()
		closed <- server.Shutdown(shutdownCtx)
	}()
	c.Run(ctx)
	if err := <-closed; err != nil {
		c.Log.Warn().Err(err).Msg("shutdown cut off an operator's request")
		server.Close()
	}
	return nil
}
