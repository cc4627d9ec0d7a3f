package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a stand-in of one replica of a plain service.
type replica struct {
	fleet   *fleet
	id      string
	service string
	version string
	zone    string
	address string
	state   string
	slots   int
	work    time.Duration

	mu      sync.Mutex
	running int
	ran     func(r *replica, request string, at time.Time)
}

// add starts a replica and lists it.
func (f *fleet) add(r *replica) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.fleet, r.address = f, l.Addr().String()
	if r.state == "" {
		r.state = "ready"
	}
	go http.Serve(l, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, r)
	return nil
}

// ServeHTTP answers a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(names["request"])
	w.Header().Set(names["request"], id)
	if q.URL.Path == "/health" {
		w.Header().Set(names["replica"], r.id)
		return
	}
	if id == "" {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if x := q.Header.Get(names["expect"]); x != "" && x != r.id {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.running >= r.slots {
		r.mu.Unlock()
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.running++
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots)
	r.mu.Unlock()
	r.ran(r, id, time.Now())
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	body := []byte("answer to " + id)
	w.Header().Set(names["stamp"], r.id+"."+id)
	w.Header().Set(names["load"], load)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// serveList answers calls of the platform's list.
func (f *fleet) serveList(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/replicas" {
		http.NotFound(w, q)
		return
	}
	list := []map[string]any{}
	f.mu.Lock()
	for _, r := range f.replicas {
		if z := q.URL.Query().Get("zone"); z != "" && z != r.zone {
			continue
		}
		list = append(list, map[string]any{
			"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
			"state": r.state, "cold_left_ms": 0,
		})
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}
