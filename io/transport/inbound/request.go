package inbound

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"
)

// bodyTimeout is how long a body may take to arrive. Bodies of the largest size take some seconds on slow links.
const bodyTimeout = 30 * time.Second

// ErrTimeout is the error of a body that did not arrive in time.
var ErrTimeout = errors.New("inbound: the body did not arrive in time")

// past is a deadline that is over.
var past = time.Unix(1, 0)

// writerKey is the key of a context's response writer.
type writerKey struct{}

// WithReading returns a handler whose requests' bodies can be read by [Bodies.ReadRequest].
func WithReading(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), writerKey{}, w)))
	})
}

// ReadRequest reads the body of a request, of at most limit bytes, which is held until the request has ended. It returns
// ErrTooLarge, ErrNoRoom, ErrTimeout or an error of the connection, which then ends with the answer.
func (b *Bodies) ReadRequest(r *http.Request, limit int) ([]byte, error) {
	w, ok := r.Context().Value(writerKey{}).(http.ResponseWriter)
	if !ok {
		return (*Body)(nil).Read(r.Body, r.ContentLength, limit, nil)
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout)) // deadlines of connections use the system's clock
	x := b.Begin(r.ContentLength, func() { control.SetReadDeadline(past) })
	context.AfterFunc(r.Context(), x.Release)
	body, err := x.Read(r.Body, r.ContentLength, limit, nil)
	if err != nil {
		x.Release()
		w.Header().Set("Connection", "close") // without awaiting the rest
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrTimeout
		}
		return nil, err
	}
	control.SetReadDeadline(time.Time{}) // what is read from here on only tells whether the caller leaves
	return body, nil
}

const (
	// unreadTimeout is how long a client may take to read unreadPart bytes of an answer.
	unreadTimeout = 5 * time.Second
	unreadPart    = 32 << 10
)

// WithWriteLimit returns a handler whose clients' connections are closed if they don't read their answers.
func WithWriteLimit(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&limitedWriter{
			ResponseWriter: w,
			control:        http.NewResponseController(w),
		}, r)
	})
}

// limitedWriter limits the time in which a client reads each part of an answer.
type limitedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Unwrap is for [http.ResponseController].
func (w *limitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements [io.Writer].
func (w *limitedWriter) Write(p []byte) (written int, err error) {
	for {
		part := p[:min(len(p), unreadPart)]
		p = p[len(part):]
		w.control.SetWriteDeadline(time.Now().Add(unreadTimeout))
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// ClientLeft reports whether the client whose request the context belongs to has closed its connection. Unlike the
// context, which ends some time after that, it looks at the connection. A context of no request belongs to no client.
func ClientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return left || err != nil
}
