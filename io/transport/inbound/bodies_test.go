package inbound

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

func newBodies(limit int64) *Bodies {
	return NewBodies("test", limit, limit, persimmoncross.SystemClock{}, metrics.NewRegistry())
}

func TestRead(t *testing.T) {
	for _, tt := range []struct {
		name   string
		text   string
		length int64
		want   error
	}{
		{"empty", "", 0, nil},
		{"known length", "abc", 3, nil},
		{"large and of known length", strings.Repeat("abc", 100_000), 300_000, nil},
		{"unknown length", strings.Repeat("abc", 100_000), -1, nil},
		{"shorter than its length", "abc", 4, io.ErrUnexpectedEOF},
		{"a length over the limit", "abc", 1 << 20, ErrTooLarge},
		{"unknown length over the limit", strings.Repeat("x", 1<<20), -1, ErrTooLarge},
		{"unknown length at the limit", strings.Repeat("x", 500_000), -1, nil},
	} {
		b := newBodies(1 << 20)
		x := b.Begin(tt.length, func() {})
		got, err := x.Read(strings.NewReader(tt.text), tt.length, 500_000, nil)
		if !errors.Is(err, tt.want) || err == nil && string(got) != tt.text {
			t.Errorf("%s: %d bytes, error %v, want %v", tt.name, len(got), err, tt.want)
		}
		x.Release()
		if held := b.bodies.Held(); held != 0 {
			t.Errorf("%s: %d bytes are held afterwards", tt.name, held)
		}
	}
}

// A body that stopped would keep others out until its time is over.
func TestStalledBodyIsEndedForAnother(t *testing.T) {
	const size = 3 << 20
	b := newBodies(4 << 20)
	in, out := net.Pipe()
	defer out.Close()
	first := b.Begin(size, func() { in.SetReadDeadline(time.Unix(1, 0)) })
	ended := make(chan error)
	go func() {
		_, err := first.Read(in, size, size, nil)
		ended <- err
	}()
	out.Write(make([]byte, size-1))
	for {
		x := b.Begin(size, func() {})
		_, err := x.Read(strings.NewReader(strings.Repeat("x", size)), size, size, nil)
		x.Release()
		if err == nil {
			break
		}
		if !errors.Is(err, ErrNoRoom) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := <-ended; !errors.Is(err, ErrNoRoom) {
		t.Errorf("the body that stopped got %v", err)
	}
}

// A body alone may exceed the bound; small requests beside it would all be refused.
func TestSmallBodiesHaveRoomBesideOneOverTheBound(t *testing.T) {
	const size = 3 << 20
	b := newBodies(1 << 20)
	large := b.Begin(size, func() {})
	if _, err := large.Read(strings.NewReader(strings.Repeat("x", size)), size, size, nil); err != nil {
		t.Fatal(err)
	}
	for _, length := range []int64{0, 100, -1} {
		x := b.Begin(length, func() {})
		text := strings.Repeat("x", int(max(length, 50)))
		if length == 0 {
			text = ""
		}
		if _, err := x.Read(strings.NewReader(text), length, size, nil); err != nil || !x.HasRoom() {
			t.Errorf("a body of length %d has room %v, error %v", length, x.HasRoom(), err)
		}
	}
}
