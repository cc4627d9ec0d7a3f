package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ringLines bounds the log lines that wait to be written: about a second of a
// burst at an entry, 1 MB at most.
const ringLines = 4096

// batchSize is the size from which lines are written without waiting for more.
const batchSize = 32 << 10

// An output that takes no more for now is tried again after writeRetryInterval, maxWriteRetries times in succession.
const (
	writeRetryInterval = 5 * time.Millisecond
	maxWriteRetries    = 400
)

// ring writes log lines from one goroutine, so that nobody who logs waits for a
// reader of the output that has stalled. A line that finds the ring full is
// dropped and counted, and the count is written once there is room again, as is that of the lines that
// the output did not take.
type ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	lost    int   // lines that the output did not take
	lostTo  error // why it did not take the last of them
	cut     bool  // the output ends within a line
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
	if r.lost > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"lost\":%d,\"error\":%q,\"message\":\"log lines were not written\"}\n", r.lost, r.lostTo)
	}
	if r.cut {
		batch = append([]byte{'\n'}, batch...)
	}
	r.write(batch)
}

// write writes the batch, and counts the lines that the output does not take.
func (r *ring) write(batch []byte) {
	rest := batch
	var err error
	for tries := 0; len(rest) > 0 && tries <= maxWriteRetries; tries++ {
		var n int
		n, err = r.out.Write(rest)
		rest = rest[n:]
		if n > 0 {
			tries = 0
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			break
		}
		if err != nil {
			time.Sleep(writeRetryInterval)
		}
	}
	if written := len(batch) - len(rest); written > 0 {
		r.cut = batch[written-1] != '\n'
	}
	if len(rest) == 0 {
		r.lost = 0
		return
	}
	r.lost += bytes.Count(rest, []byte{'\n'})
	r.lostTo = err
}
