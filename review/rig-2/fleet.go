package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// names holds the header and field names of the platform's pages.
var names map[string]string

// record writes what is sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is one program of the project.
type process struct {
	name    string
	role    string
	zone    string
	host    string
	file    string
	command *exec.Cmd
	done    chan struct{}
}

// fleet is the project's programs, the replicas and the platform's list.
type fleet struct {
	*record
	binary      string
	folder      string
	ports       [5]int // peer, caller, ready, operator, metrics
	controllers []*process
	entries     []*process
	replicas    []*replica
	listing     string
	ways        map[[2]string]*way // from one controller to another
	document    []byte

	mu       sync.Mutex
	stopping bool
}

// zones of the deployment.
var zones = []string{"zone-a", "zone-b"}

func (f *fleet) address(p *process, port int) string {
	return fmt.Sprintf("%s:%d", p.host, f.ports[port])
}

const (
	peerPort = iota
	callerPort
	readyPort
	operatorPort
	metricsPort
)

// plan chooses addresses: a loopback address for each machine, the same ports on all.
func (f *fleet) plan(controllers, entries int) error {
	id := os.Getpid()
	host := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 96+id>>16&0x1f, id>>8&0xff, 1+(id&0x0f)*16+n) }
	var held []net.Listener
	for i := range f.ports {
		l, err := net.Listen("tcp", host(0)+":0")
		if err != nil {
			return err
		}
		held = append(held, l)
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range held {
		l.Close()
	}
	for n := range controllers {
		f.controllers = append(f.controllers, &process{name: fmt.Sprintf("core-%d", n+1), role: "controller", zone: zones[n%2], host: host(n)})
	}
	for n := range entries {
		f.entries = append(f.entries, &process{name: fmt.Sprintf("front-%d", n+1), role: "entry", zone: zones[n%2], host: host(controllers + n)})
	}
	f.ways = map[[2]string]*way{}
	for _, from := range f.controllers {
		for _, to := range f.controllers {
			if from == to {
				continue
			}
			w, err := newWay(f.address(to, peerPort))
			if err != nil {
				return err
			}
			f.ways[[2]string{from.name, to.name}] = w
		}
	}
	return nil
}

// cut holds what a controller sends to the others on its connections to them, or lets it go on.
func (f *fleet) cut(p *process, cut bool) {
	f.say("cut of what %s sends to the other core machines: %v", p.name, cut)
	for k, w := range f.ways {
		if k[0] == p.name {
			w.set(cut)
		}
	}
}

// leader returns the controller that the others follow, by their logs; it only chooses whom the operator asks first.
func (f *fleet) leader() *process {
	var last string
	var at string
	for _, p := range f.controllers {
		text, err := os.ReadFile(filepath.Join(f.folder, p.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			x := struct{ Message, Controller, Time string }{}
			if json.Unmarshal(line, &x) == nil && x.Message == "following" && x.Time >= at {
				last, at = x.Controller, x.Time
			}
		}
	}
	for _, p := range f.controllers {
		if f.address(p, peerPort) == last {
			return p
		}
	}
	return nil
}

// settings writes a process's settings file, with the fields of deploy/site.jsonc.
func (f *fleet) settings(p *process, founding bool) error {
	var seeds []string
	for _, c := range f.controllers[:min(3, len(f.controllers))] {
		seeds = append(seeds, f.address(c, operatorPort))
	}
	s := map[string]any{
		"name":       p.name,
		"datacentre": p.zone,
		"peer":       f.address(p, peerPort),
		"metrics":    f.address(p, metricsPort),
		"seeds":      seeds,
		"founding":   founding,
		"regions":    map[string]string{zones[0]: "region", zones[1]: "region"},
		"losses":     (len(f.controllers) - 1) / 2,
		"memory":     280,
		"list":       map[string]any{"address": f.listing, "rate": 44.0, "lag": "800ms"},
		"cascade":    map[string]any{"start": 0, "threshold": []int{55, 55}},
		"overload":   map[string]any{"conditions": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout", "places"}},
		"bounds": map[string]any{
			"drain": "3000ms", "grace": "8s", "change": "2000ms", "withdraw": "5000ms",
			"exposureShare": 0.15, "exposureSlack": 30.0, "retryShare": 0.9, "retryWindow": "10s", "retrySlack": 56.0, "sessionIdle": "5s",
		},
	}
	if p.role == "entry" {
		s["descriptors"] = 4100
		s["caller"], s["ready"] = f.address(p, callerPort), f.address(p, readyPort)
	} else {
		s["descriptors"] = 4096
		s["operator"], s["data"] = f.address(p, operatorPort), filepath.Join(f.folder, p.name)
	}
	if p.role == "controller" {
		via := map[string]string{}
		for _, to := range f.controllers {
			if w := f.ways[[2]string{p.name, to.name}]; w != nil {
				via[f.address(to, peerPort)] = w.l.Addr().String()
			}
		}
		s["via"] = via
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	p.file = filepath.Join(f.folder, p.name+".jsonc")
	return os.WriteFile(p.file, text, 0o644)
}

// launch starts a process with the command of the deploy file.
func (f *fleet) launch(p *process, founding bool) error {
	if err := f.settings(p, founding); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(f.binary, p.role, "--settings", p.file)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.done = c, make(chan struct{})
	go func(done chan struct{}) {
		err := c.Wait()
		close(done)
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.stopping {
			f.say("%s has ended: %v", p.name, err)
		}
	}(p.done)
	return nil
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.say("%v to %s", s, p.name)
	p.command.Process.Signal(s)
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	for _, p := range append(f.controllers, f.entries...) {
		if p.command != nil {
			p.command.Process.Signal(syscall.SIGCONT)
			p.command.Process.Kill()
			<-p.done
		}
	}
}

// start starts the list and all processes, declares the document and waits until all entries are ready.
func (f *fleet) start(document []byte) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.listing = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(f.serveList))
	for _, p := range append(append([]*process{}, f.controllers...), f.entries...) {
		if err := f.launch(p, true); err != nil {
			return err
		}
	}
	if !f.order(10*time.Second, "PUT", "/config", document, f.controllers...) {
		return fmt.Errorf("the first document was not acknowledged")
	}
	for _, p := range f.entries {
		ok := false
		for range 400 {
			if status, _, err := call(f.address(p, readyPort), "GET", "/ready", nil, nil, time.Second); err == nil && status == 200 {
				ok = true
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ok {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

// call makes one call on a connection of its own.
func call(address, method, path string, header http.Header, body []byte, wait time.Duration) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	if h := header.Get("Host"); h != "" {
		r.Host = h
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{
		Timeout:   wait,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// order sends an operator's order, to the first node, and after a second without a response or a 5xx to the next, until it
// is acknowledged or the time is over.
func (f *fleet) order(most time.Duration, method, path string, body []byte, nodes ...*process) bool {
	end := time.Now().Add(most)
	pause := 50 * time.Millisecond
	for n := 0; time.Now().Before(end); n++ {
		p := nodes[n%len(nodes)]
		f.say("operator: %s %s to %s", method, path, p.name)
		status, _, err := call(f.address(p, operatorPort), method, path, nil, body, time.Second)
		if err != nil {
			f.say("operator: no answer of %s to %s %s: %v", p.name, method, path, err)
		} else {
			f.say("operator: %s answered %d to %s %s", p.name, status, method, path)
		}
		if err == nil && status/100 == 2 {
			return true
		}
		if n >= len(nodes)-1 {
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
		}
	}
	return false
}
