package cli

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// ringLines bounds the log lines that wait to be written: about a second of a
// burst at an entry, 1 MB at most.
const ringLines = 4096

// batchSize is the size from which lines are written without waiting for more.
const batchSize = 32 << 10

// ring writes log lines from one goroutine, so that nobody who logs waits for a
// reader of the output that has stalled. A line that finds the ring full is
// dropped and counted, and the count is written once there is room again.
type ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	stop    chan struct{}
	done    chan struct{}
}

func newRing(out io.Writer) *ring {
	r := &ring{
		out:   out,
		lines: make(chan []byte, ringLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go r.run()
	return r
}

// Write implements io.Writer; it never waits.
func (r *ring) Write(p []byte) (int, error) {
	select {
	case r.lines <- bytes.Clone(p):
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits. Lines that come after it are lost.
func (r *ring) Close() {
	r.once.Do(func() { close(r.stop) })
	<-r.done
}

func (r *ring) run() {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.flush(line)
		case <-r.stop:
			for len(r.lines) > 0 {
				r.flush(<-r.lines)
			}
			return
		}
	}
}

// flush writes the line and what else waits, in one go.
func (r *ring) flush(line []byte) {
	batch := line
	for len(batch) < batchSize && len(r.lines) > 0 {
		batch = append(batch, <-r.lines...)
	}
	if n := r.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", n)
	}
	r.out.Write(batch) // there is nobody to tell of an error
}
