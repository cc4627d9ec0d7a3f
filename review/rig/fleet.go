package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controllers = 5
	seedCount   = 3
	zoneCount   = 4
	startTime   = 30 * time.Second
	callTime    = time.Second // after which the operator asks another controller
)

// process is one of the project's programs, with a loopback address of its own.
type process struct {
	fleet    *fleet
	name     string
	role     string // as in the deploy file
	zone     string
	peer     netip.AddrPort
	caller   netip.AddrPort
	ready    netip.AddrPort
	operator netip.AddrPort
	metrics  netip.AddrPort
	via      map[string]string // hosts of the gateways to servers, by the servers' hosts

	mu       sync.Mutex // guards all below
	command  *exec.Cmd
	ended    chan struct{}
	founding bool
}

// fleet is the controllers and entries, and the operator who calls them.
type fleet struct {
	record  *record
	binary  string
	folder  string
	listing netip.AddrPort
	regions map[string]string // by zone
	all     []*process        // controllers first
	client  *http.Client
	version int // of the configuration that was sent last
	turn    int // of the operator among the controllers
}

func newFleet(r *record, binary, folder string, entries int, listing netip.AddrPort) (*fleet, error) {
	f := &fleet{
		record:  r,
		binary:  binary,
		folder:  folder,
		listing: listing,
		regions: map[string]string{},
		client:  &http.Client{},
	}
	for n := range zoneCount {
		f.regions[fmt.Sprintf("zone-%d", n+1)] = "region"
	}
	id := os.Getpid()
	address := func(n int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(30 + id>>8&0x1f), byte(id), byte(1 + n)})
	}
	ports, err := freePorts(address(0), 5)
	if err != nil {
		return nil, err
	}
	for n := range controllers + entries {
		p := &process{
			fleet:    f,
			name:     fmt.Sprintf("entry-%d", n-controllers+1),
			role:     "entry",
			zone:     fmt.Sprintf("zone-%d", 1+n%zoneCount),
			peer:     netip.AddrPortFrom(address(n), ports[0]),
			caller:   netip.AddrPortFrom(address(n), ports[1]),
			ready:    netip.AddrPortFrom(address(n), ports[2]),
			operator: netip.AddrPortFrom(address(n), ports[3]),
			metrics:  netip.AddrPortFrom(address(n), ports[4]),
			founding: true,
		}
		if n < controllers {
			p.name, p.role = fmt.Sprintf("controller-%d", n+1), "controller"
		}
		f.all = append(f.all, p)
	}
	return f, nil
}

func freePorts(at netip.Addr, count int) ([]uint16, error) {
	var ports []uint16
	for range count {
		l, err := net.Listen("tcp", netip.AddrPortFrom(at, 0).String())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	return ports, nil
}

func (f *fleet) entries() []*process { return f.all[controllers:] }

// site returns the process's settings, as the deploy template renders them.
func (p *process) site() string {
	var seeds []string
	for _, s := range p.fleet.all[:seedCount] {
		seeds = append(seeds, fmt.Sprintf("%q", s.operator))
	}
	serves := fmt.Sprintf(`"caller": %q, "ready": %q,`, p.caller, p.ready)
	memory := "284"
	if p.role == "controller" {
		serves = fmt.Sprintf(`"operator": %q, "data": %q,`, p.operator, p.data())
		memory = "280"
	}
	regions, err := json.Marshal(p.fleet.regions)
	if err != nil {
		panic(err) // of strings
	}
	via, err := json.Marshal(p.via)
	if err != nil || p.via == nil {
		via = []byte("{}")
	}
	return strings.NewReplacer(
		"@REGIONS@", string(regions), "@VIA@", string(via),
		"@NAME@", p.name, "@ZONE@", p.zone, "@PEER@", p.peer.String(), "@SERVES@", serves,
		"@METRICS@", p.metrics.String(), "@SEEDS@", "["+strings.Join(seeds, ",")+"]",
		"@FOUNDING@", fmt.Sprint(p.founding), "@MEMORY@", memory, "@LIST@", p.fleet.listing.String(),
	).Replace(siteFile)
}

func (p *process) data() string { return filepath.Join(p.fleet.folder, p.name) }

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.fleet.folder, p.name+".jsonc")
	if err := os.WriteFile(path, []byte(p.site()), 0o644); err != nil {
		return err
	}
	if p.role == "controller" {
		if err := os.MkdirAll(p.data(), 0o755); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.fleet.binary, p.role, "--settings", path)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.founding = false
	p.command, p.ended = c, make(chan struct{})
	p.fleet.record.say("%s started, pid %d", p.name, c.Process.Pid)
	go func(ended chan struct{}) {
		err := c.Wait()
		p.fleet.record.say("%s ended: %v", p.name, err)
		close(ended)
	}(p.ended)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.record.say("%s gets %v", p.name, s)
	p.command.Process.Signal(s)
}

// awaitEnd waits until the process has ended.
func (p *process) awaitEnd() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// close ends all processes.
func (f *fleet) close() {
	for _, p := range f.all {
		if p.command == nil {
			continue
		}
		p.command.Process.Signal(syscall.SIGCONT)
		p.command.Process.Kill()
		p.awaitEnd()
	}
}

// start starts all processes, sends the first configuration and waits until all entries are ready.
func (f *fleet) start() error {
	for _, p := range f.all {
		if err := p.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTime)
	if err := f.configure(deadline); err != nil {
		return err
	}
	for _, p := range f.entries() {
		for !f.isReady(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10*time.Second - time.Since(f.record.began))
	return nil
}

func (f *fleet) isReady(p *process) bool {
	status, _ := f.send(http.MethodGet, "http://"+p.ready.String()+"/ready", "")
	return status == http.StatusOK
}

// configure sends the next version of the configuration until it is acknowledged.
func (f *fleet) configure(deadline time.Time) error {
	f.version += 3
	return f.order(http.MethodPut, "/config", strings.ReplaceAll(configFile, "@VERSION@", fmt.Sprint(f.version)), deadline)
}

// order sends an order to one controller after the other until one acknowledges it.
func (f *fleet) order(method, path, body string, deadline time.Time) error {
	for time.Now().Before(deadline) {
		status, answer := f.control(method, path, body)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("%s %s was refused: %d %s", method, path, status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New(path + " was not acknowledged")
}

// control calls the next controller.
func (f *fleet) control(method, path, body string) (int, string) {
	f.turn++
	p := f.all[f.turn%controllers]
	status, answer := f.send(method, "http://"+p.operator.String()+path, body)
	if len(body) > 200 {
		body = body[:20] + "..."
	}
	short := answer
	if len(short) > 100 {
		short = short[:100] + "..."
	}
	f.record.say("operator to %s: %s %s %s -> %d %s", p.name, method, path, body, status, strings.TrimSpace(short))
	return status, answer
}

func (f *fleet) send(method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	answer, err := f.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(data)
}
