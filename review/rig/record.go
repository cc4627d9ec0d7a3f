package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, line by line.
type record struct {
	mu    sync.Mutex // guards all below
	began time.Time
	file  *os.File
	out   *bufio.Writer
	broke int // lines that say that the rule is broken
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(),
		file:  f,
		out:   bufio.NewWriter(f),
	}, nil
}

// say writes a line.
func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sayLocked(format, args...)
}

func (r *record) sayLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// breaks writes a line that says that the rule is broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broke++
	r.sayLocked("BROKEN "+format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broke
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
