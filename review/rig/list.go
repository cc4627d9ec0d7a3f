package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
)

// list is a stand-in for the platform's list of replicas.
type list struct {
	record   *record
	listener net.Listener

	mu      sync.Mutex // guards all below
	all     []*replica
	foreign []string // entries of another writer, as they are
}

func newList(r *record) (*list, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &list{
		record:   r,
		listener: l,
	}
	go http.Serve(l, x)
	return x, nil
}

func (l *list) address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// add starts a replica and lists it.
func (l *list) add(r *replica) error {
	r.record = l.record
	if err := r.start(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
	return nil
}

// remove takes a replica off the list and ends it.
func (l *list) remove(r *replica) {
	l.mu.Lock()
	l.all = slices.DeleteFunc(l.all, func(other *replica) bool { return other == r })
	l.mu.Unlock()
	r.stop()
}

func (l *list) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.all {
		r.stop()
	}
}

// ServeHTTP implements [http.Handler].
func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/replicas" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(l.page())
}

func (l *list) page() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := []byte(`{"instances":[`)
	comma := func() {
		if page[len(page)-1] != '[' {
			page = append(page, ',')
		}
	}
	for i, r := range l.all {
		if i == len(l.all)/2 { // between the others
			for _, entry := range l.foreign {
				comma()
				page = append(page, entry...)
			}
		}
		comma()
		page = append(page, r.listed()...)
	}
	return append(page, `],"next":null}`...)
}

func (r *replica) listed() []byte {
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	entry := struct {
		Service string  `json:"service"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Version string  `json:"version"`
		Slots   int     `json:"slots"`
		State   string  `json:"state"`
		Cold    int     `json:"cold_left_ms"`
		Stage   string  `json:"stage,omitempty"`
		Models  []model `json:"models,omitempty"`
		ID      string  `json:"id"`
	}{
		Service: r.service,
		Address: r.address().String(),
		Zone:    r.zone,
		Version: r.version,
		Slots:   r.slots,
		ID:      r.id,
	}
	for _, m := range r.models {
		entry.Stage = "both"
		entry.Models = append(entry.Models, model{
			Name:     m,
			Version:  1,
			Adapters: []string{},
		})
	}
	r.mu.Lock()
	entry.State = r.state
	r.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // of plain fields
	}
	return data
}
