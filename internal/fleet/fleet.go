// Package fleet runs a small fleet in one process: VMs and the stand-ins
// beside them, on ports that the kernel gives, with a temporary folder. The
// demo and the integration tests drive it. Its VMs are whole ones: they talk
// over TCP and sync to disk.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/settings"
	"persimmoncross/internal/standin"
	"persimmoncross/internal/vm"
	"persimmoncross/io/transport/operator"
)

// Keys of the fleet's organisations and of its operator.
const (
	RelayKey    = "relay-key"
	DeskKey     = "desk-key"
	OperatorKey = "operator-key"
)

// startWait bounds how long a VM may take to be ready.
const startWait = 30 * time.Second

// Fleet is the running fleet. The exported fields are set before Start.
type Fleet struct {
	Folder   string
	Log      zerolog.Logger
	Binary   string                                 // runs the VMs as processes of this program; "": in this process
	Learners int                                    // VMs without a disk beside the three voters
	Sweep    time.Duration                          // age at which a dead owner's claim is settled; 0: the usual
	Clock    func(name string) persimmoncross.Clock // of a VM; nil: the system's
	// Dial opens a VM's connections to upstreams; nil: direct ones.
	Dial func(name string) func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Route, if set, gives the address by which one VM reaches another, in place
	// of the other's own.
	Route  func(from, to string, address netip.AddrPort) netip.AddrPort
	Grace  time.Duration           // of the VMs' stops
	Engine func(e *standin.Engine) // changes an engine before it starts; may be nil
	Local  func(l *settings.Local) // changes a VM's local settings; may be nil

	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	Platform *standin.Platform

	addresses map[string]netip.AddrPort // of the stand-ins
	servers   []*http.Server
	peers     map[string]*settings.LocalVM
	vms       map[string]*running
}

// running is one VM, with the addresses that it keeps over restarts.
type running struct {
	local   *settings.Local
	cancel  context.CancelFunc
	done    chan error
	process *os.Process // with Binary
}

// engines lists the stand-in engines: name, data centre, versions.
var engines = []struct {
	name     string
	versions []string
	fencing  bool
}{
	{
		name:     "engine-1",
		versions: []string{"small@1"},
	},
	{
		name:     "engine-2",
		versions: []string{"small@1", "small@2"},
	},
	{
		name:     "engine-3",
		versions: []string{"small@1", "small@2"},
		fencing:  true,
	},
	{
		name:     "engine-4",
		versions: []string{"large@1"},
	},
	{
		name:     "engine-5",
		versions: []string{"large@1"},
		fencing:  true,
	},
}

// Start starts the stand-ins and the VMs, waits until all are ready, and takes
// the settings into force.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.prepare(); err != nil {
		return err
	}
	for name := range f.vms {
		if err := f.Launch(name); err != nil {
			return err
		}
	}
	for name := range f.vms {
		if err := f.AwaitReady(ctx, name); err != nil {
			return err
		}
	}
	_, err := f.Apply(ctx, "vm-a", f.Settings(), "first", "0")
	return err
}

// prepare starts the stand-ins and plans the VMs.
func (f *Fleet) prepare() error {
	f.addresses = map[string]netip.AddrPort{}
	f.Engines = map[string]*standin.Engine{}
	f.Services = map[string]*standin.Service{}
	f.vms = map[string]*running{}
	if err := f.startStandins(); err != nil {
		return err
	}
	if err := writeOperators(f.operatorsFile()); err != nil {
		return err
	}
	return f.plan()
}

func (f *Fleet) startStandins() error {
	for _, e := range engines {
		engine := &standin.Engine{
			Versions: e.versions,
			Fencing:  e.fencing,
		}
		if f.Engine != nil {
			f.Engine(engine)
		}
		f.Engines[e.name] = engine
		if err := f.serve(e.name, engine.Handler()); err != nil {
			return err
		}
	}
	for _, name := range []string{"stock-1", "slips-1"} {
		f.Services[name] = &standin.Service{}
		if err := f.serve(name, f.Services[name].Handler()); err != nil {
			return err
		}
	}
	f.Platform = &standin.Platform{}
	return errors.Join(
		f.serve("rater", (&standin.Rater{}).Handler()),
		f.serve("platform", f.Platform.Handler()),
	)
}

func (f *Fleet) serve(name string, handler http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler: handler,
	}
	f.servers = append(f.servers, s)
	f.addresses[name] = l.Addr().(*net.TCPAddr).AddrPort()
	go s.Serve(l)
	return nil
}

// Address returns a stand-in's address.
func (f *Fleet) Address(name string) netip.AddrPort { return f.addresses[name] }

// plan gives each VM its addresses. They are free when asked for; a VM keeps
// its own over restarts.
func (f *Fleet) plan() error {
	f.peers = map[string]*settings.LocalVM{}
	for i := range 3 + f.Learners {
		name := "vm-" + string(rune('a'+i))
		ports, err := freePorts(3)
		if err != nil {
			return err
		}
		l := &settings.Local{
			Name:       name,
			DataCentre: fmt.Sprintf("hall-%d", i%3+1),
			Caller:     ports[0],
			Operator:   ports[1],
			Peer:       ports[2],
			Peers:      f.peers,
			Operators:  f.operatorsFile(),
			Grace:      &f.Grace,
		}
		if i < 3 {
			l.Data = filepath.Join(f.Folder, name)
		}
		if f.Local != nil {
			f.Local(l)
		}
		f.peers[name] = &settings.LocalVM{
			Address: ports[2],
			Voter:   i < 3,
		}
		f.vms[name] = &running{
			local: l,
		}
	}
	return nil
}

func (f *Fleet) operatorsFile() string { return filepath.Join(f.Folder, "operators") }

// given holds the ports that this process has handed out; a port is handed out
// once, also if it is free again.
var given sync.Map

// ownAddress is a loopback address that only this process listens at. The
// kernel takes 127.0.0.1 as the source of connections within the VM, so a port
// of another address is never one that an outgoing connection has taken between
// freePorts and the start of the VM that it was chosen for. Where the system has
// only 127.0.0.1, that is used.
var ownAddress = sync.OnceValue(func() string {
	id := os.Getpid()
	address := netip.AddrFrom4([4]byte{127, byte(1 + id>>16&0x3f), byte(id >> 8), byte(id)}).String()
	l, err := net.Listen("tcp", net.JoinHostPort(address, "0"))
	if err != nil {
		return "127.0.0.1"
	}
	l.Close()
	return address
})

func freePorts(n int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for len(ports) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(ownAddress(), "0"))
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		port := l.Addr().(*net.TCPAddr).AddrPort()
		if _, taken := given.LoadOrStore(port, true); !taken {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// Names returns the VMs' names in order.
func (f *Fleet) Names() []string {
	var names []string
	for i := range len(f.vms) {
		names = append(names, "vm-"+string(rune('a'+i)))
	}
	return names
}

// Launch starts a VM that doesn't run.
func (f *Fleet) Launch(name string) error {
	r := f.vms[name]
	r.done = make(chan error, 1)
	if f.Binary != "" {
		return f.launchProcess(r)
	}
	local := *r.local
	local.Peers = f.routed(name)
	v := &vm.VM{
		Local: &local,
		Clock: persimmoncross.SystemClock{},
		Log:   f.Log.With().Str("vm", name).Logger(),

		SweepAfter: f.Sweep,
	}
	if f.Clock != nil {
		v.Clock = f.Clock(name)
	}
	if f.Dial != nil {
		v.DialUpstream = f.Dial(name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.done <- v.Run(ctx) }()
	return nil
}

// routed returns the peers as the VM reaches them.
func (f *Fleet) routed(from string) map[string]*settings.LocalVM {
	if f.Route == nil {
		return f.peers
	}
	peers := map[string]*settings.LocalVM{}
	for to, p := range f.peers {
		next := *p
		if to != from {
			next.Address = f.Route(from, to, p.Address)
		}
		peers[to] = &next
	}
	return peers
}

// AwaitReady waits until the VM is ready for callers.
func (f *Fleet) AwaitReady(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	url := "http://" + f.Operator(name).String() + "/readyz"
	for {
		response, err := http.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-f.vms[name].done:
			return fmt.Errorf("fleet: %s ended: %w", name, err)
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s is not ready: %w", name, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Stop stops a VM gracefully and waits for its end.
func (f *Fleet) Stop(name string) error {
	r := f.vms[name]
	if r.cancel == nil {
		return nil
	}
	r.cancel()
	r.cancel = nil
	return <-r.done
}

// Close stops all.
func (f *Fleet) Close() error {
	var group sync.WaitGroup
	failed := make([]error, len(f.vms))
	for i, name := range f.Names() {
		group.Go(func() { failed[i] = f.Stop(name) })
	}
	group.Wait()
	for _, s := range f.servers {
		s.Close()
	}
	return errors.Join(failed...)
}

// Caller returns the VM's address for callers.
func (f *Fleet) Caller(name string) netip.AddrPort { return f.vms[name].local.Caller }

// Operator returns the VM's address for operators.
func (f *Fleet) Operator(name string) netip.AddrPort { return f.vms[name].local.Operator }

// Client returns a client of the VM's operators' API.
func (f *Fleet) Client(name string) *operator.Client {
	return &operator.Client{
		Address: f.Operator(name),
		Key:     OperatorKey,
	}
}
