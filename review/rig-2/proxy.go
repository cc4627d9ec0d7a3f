package main

import (
	"io"
	"net"
	"sync"
)

// way carries the connections of one controller to another. While it is cut, the bytes of the first to the second wait;
// those of the other direction pass, and when the cut has healed all goes on.
type way struct {
	to   string
	l    net.Listener
	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func newWay(to string) (*way, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &way{to: to, l: l}
	w.cond = sync.NewCond(&w.mu)
	go w.serve()
	return w, nil
}

func (w *way) set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.cond.Broadcast()
}

func (w *way) wait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.cut {
		w.cond.Wait()
	}
}

func (w *way) serve() {
	for {
		c, err := w.l.Accept()
		if err != nil {
			return
		}
		go w.carry(c.(*net.TCPConn))
	}
}

func (w *way) carry(c *net.TCPConn) {
	w.wait()
	d, err := net.Dial("tcp", w.to)
	if err != nil {
		c.Close()
		return
	}
	t := d.(*net.TCPConn)
	go func() {
		io.Copy(c, t)
		c.CloseWrite()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := c.Read(b)
		w.wait()
		if n > 0 {
			if _, e := t.Write(b[:n]); e != nil {
				c.Close()
				return
			}
		}
		if err != nil {
			t.CloseWrite()
			return
		}
	}
}
