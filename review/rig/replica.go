package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a server: one request at a time on a connection, slots, a short queue,
// answers with the id and a stamp.
type replica struct {
	record  *record
	id      string
	service string
	version string
	zone    string
	slots   int
	queue   int
	models  []string
	host    string // "": 127.0.0.1
	// work answers a request that has a slot; it returns false to end the connection.
	work func(x *exchange) bool
	// spoil may change what is written for an answer; may be nil.
	spoil func(x *exchange, answer []byte)

	listener net.Listener
	places   chan struct{} // running and waiting
	running  chan struct{}

	mu    sync.Mutex // guards all below
	state string
	gone  bool
	conns map[net.Conn]bool
}

// exchange is one request on a connection.
type exchange struct {
	replica *replica
	conn    net.Conn
	late    *[]byte // what is sent when the next answer is expected on the connection
	request *http.Request
	id      string
	body    []byte
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", net.JoinHostPort(cmp.Or(r.host, "127.0.0.1"), "0"))
	if err != nil {
		return err
	}
	r.listener = l
	r.state = "ready"
	r.places = make(chan struct{}, r.slots+r.queue)
	r.running = make(chan struct{}, r.slots)
	r.conns = map[net.Conn]bool{}
	go r.accept()
	return nil
}

func (r *replica) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

// stop ends the server with all its connections.
func (r *replica) stop() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	for c := range r.conns {
		c.Close()
	}
}

func (r *replica) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := &exchange{
			replica: r,
			conn:    c,
			late:    &late,
			request: request,
			id:      request.Header.Get(name("id")),
			body:    body,
		}
		if len(late) > 0 {
			r.record.say("%s sends late, before the answer to %s, a second copy of an earlier answer", r.id, x.id)
			c.Write(late)
			late = nil
		}
		if !r.handle(x) {
			return
		}
	}
}

func (r *replica) handle(x *exchange) bool {
	if x.request.Header.Get(name("expect")) != r.id {
		return x.reject(http.StatusMisdirectedRequest)
	}
	if x.request.URL.Path == "/health" {
		return x.answer(http.StatusOK, nil, "")
	}
	r.record.say("%s gets %s", r.id, x.id)
	select {
	case r.places <- struct{}{}:
	default:
		r.record.say("%s rejects %s: full", r.id, x.id)
		return x.reject(http.StatusServiceUnavailable)
	}
	defer func() { <-r.places }()
	r.running <- struct{}{}
	defer func() { <-r.running }()
	return r.work(x)
}

// head returns the beginning of an answer.
func (x *exchange) head(status int, more map[string]string, length int) string {
	r := x.replica
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), name("id"), x.id)
	running := len(r.running)
	fmt.Fprintf(&b, "%s: %d,%d,%d\r\n", name("load"), running, max(len(r.places)-running, 0), r.slots)
	for k, v := range more {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if length >= 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	} else {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// reject says that the request was not run.
func (x *exchange) reject(status int) bool {
	return x.write([]byte(x.head(status, map[string]string{name("not run"): "1"}, 0)))
}

// answer sends a whole answer.
func (x *exchange) answer(status int, more map[string]string, body string) bool {
	if more == nil {
		more = map[string]string{}
	}
	more[name("stamp")] = x.replica.id + "." + x.id
	return x.write([]byte(x.head(status, more, len(body)) + body))
}

func (x *exchange) write(b []byte) bool {
	_, err := x.conn.Write(b)
	if err == nil && x.replica.spoil != nil {
		x.replica.spoil(x, b)
	}
	return err == nil
}

// stream sends events with a pause before each; it returns false if the caller left.
func (x *exchange) stream(more map[string]string, events int, pause time.Duration) bool {
	more[name("stamp")] = x.replica.id + "." + x.id
	more["Content-Type"] = "text/event-stream"
	more[name("weights")] = "1"
	if _, err := io.WriteString(x.conn, x.head(http.StatusOK, more, -1)); err != nil {
		return false
	}
	first, _ := strconv.Atoi(x.request.Header.Get(name("last event")))
	for n := first + 1; n <= events; n++ {
		time.Sleep(pause)
		text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, x.id, n)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}
