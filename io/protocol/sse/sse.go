// Package sse reads and writes server-sent events, as far as engines and
// callers of chat completions use them: data fields, comments and event names.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEvent bounds one event's data, in bytes. Twice as much is read for one event, with its field names and
// the comments before it.
const MaxEvent = 1 << 20

// ErrTooLarge is returned for an event over [MaxEvent].
var ErrTooLarge = errors.New("sse: event too large")

// Event is one event.
type Event struct {
	Name string // "" is "message"
	Data []byte
}

// Reader reads events. It returns io.ErrUnexpectedEOF for an event that was
// cut off, and io.EOF between two.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{
		lines: bufio.NewReaderSize(r, 16<<10),
	}
}

// Next returns the next event that has data.
func (r *Reader) Next() (Event, error) {
	var e Event
	open := false
	read := 0
	for {
		line, err := r.line()
		if err != nil {
			if err == io.EOF && (open || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if read += len(line) + 1; read > 2*MaxEvent {
			return Event{}, ErrTooLarge
		}
		if len(line) == 0 {
			if open && e.Data != nil {
				return e, nil
			}
			e = Event{}
			open = false
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			open = true
			if e.Data != nil {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			if e.Data == nil {
				e.Data = []byte{}
			}
		case "event":
			open = true
			e.Name = string(value)
		}
		if len(e.Data) > MaxEvent {
			return Event{}, ErrTooLarge
		}
	}
}

// line returns one line without its end. The bytes are valid until the next call.
func (r *Reader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := bytes.Clone(line)
		for err == bufio.ErrBufferFull && len(long) <= MaxEvent {
			line, err = r.lines.ReadSlice('\n')
			long = append(long, line...)
		}
		if err == bufio.ErrBufferFull {
			return nil, ErrTooLarge
		}
		line = long
	}
	if err != nil {
		return line, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// AppendData adds an event with the data, which holds no line ends, to b.
func AppendData(b, data []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// AppendNamed adds a named event to b.
func AppendNamed(b []byte, name string, data []byte) []byte {
	b = append(b, "event: "...)
	b = append(b, name...)
	b = append(b, '\n')
	return AppendData(b, data)
}
