package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/settings"
)

// fleet runs controllers and entries on loopback addresses of their own: as on
// VMs, all have the same peer port.
type fleet struct {
	t     *testing.T
	port  uint16
	seeds []netip.AddrPort
	list  *lister
	dir   string
	base  int // third byte of the addresses
	vms   map[string]*process
}

type process struct {
	controller *Controller
	entry      *Entry
	end        context.CancelFunc
	done       chan struct{}
}

// lister is a stand-in for the platform's list.
type lister struct {
	mu    sync.Mutex // guards all below
	list  []persimmoncross.Upstream
	calls int
	down  bool
}

func (l *lister) Upstreams(context.Context) ([]persimmoncross.Upstream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return nil, errors.New("the list is away")
	}
	return l.list, nil
}

func (l *lister) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *lister) set(list ...persimmoncross.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

func newFleet(t *testing.T, base int) *fleet {
	t.Helper()
	f := &fleet{
		t:    t,
		list: &lister{},
		dir:  t.TempDir(),
		base: base,
		vms:  map[string]*process{},
	}
	l, err := net.Listen("tcp", f.address(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	f.port = netip.MustParseAddrPort(l.Addr().String()).Port()
	l.Close()
	for n := 1; n <= 3; n++ {
		f.seeds = append(f.seeds, netip.AddrPortFrom(netip.MustParseAddr(f.address(n)), 1))
	}
	f.list.set(persimmoncross.Upstream{
		Incarnation: "u1",
		Service:     "s",
		Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		Slots:       1,
	})
	t.Cleanup(func() {
		for name := range f.vms {
			f.stop(name)
		}
	})
	return f
}

func (f *fleet) address(n int) string { return fmt.Sprintf("127.0.%d.%d", f.base, n) }

func (f *fleet) site(n int, founding bool) *settings.Site {
	return &settings.Site{
		Name:     fmt.Sprint("vm", n),
		Peer:     netip.AddrPortFrom(netip.MustParseAddr(f.address(n)), f.port),
		Data:     filepath.Join(f.dir, fmt.Sprint(n)),
		Seeds:    f.seeds,
		Founding: founding,
		Losses:   2,
		Bounds: settings.SiteBounds{
			Drain:       3 * time.Second,
			Grace:       time.Second,
			SessionIdle: time.Second,
			RetryShare:  0.9,
			RetryWindow: 10 * time.Second,
			RetrySlack:  60,
		},
	}
}

// prepared returns the controller with the number, before its Run.
func (f *fleet) prepared(n int, founding bool) *Controller {
	f.t.Helper()
	c := &Controller{
		Site:    f.site(n, founding),
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.list,
	}
	if err := c.Prepare(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// controller starts the controller with the number.
func (f *fleet) controller(n int, founding bool) *Controller {
	f.t.Helper()
	return f.run(f.prepared(n, founding))
}

// run runs a controller; one that is not prepared yet is.
func (f *fleet) run(c *Controller) *Controller {
	f.t.Helper()
	if c.store == nil {
		if err := c.Prepare(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		controller: c,
		end:        cancel,
		done:       make(chan struct{}),
	}
	f.vms[c.Site.Name] = p
	go func() {
		defer close(p.done)
		c.Run(ctx)
	}()
	return c
}

// entry starts an entry.
func (f *fleet) entry(n int) *Entry { return f.entryVia(n, nil) }

// entryVia starts an entry that reaches controllers by other addresses.
func (f *fleet) entryVia(n int, via map[string]netip.AddrPort) *Entry {
	site := f.site(n, true)
	site.Via = via
	return f.runEntry(site)
}

// testCatalog is what a document declares: its number, and the same routes always.
func testCatalog(document []byte) (*catalog.Catalog, error) {
	c := &catalog.Catalog{
		Routes: routes(),
		Services: map[string]*catalog.Service{
			"s": {
				Name: "s",
			},
		},
	}
	c.Index()
	_, err := fmt.Sscan(string(document), &c.Number)
	return c, err
}

// runEntry starts an entry of the site.
func (f *fleet) runEntry(site *settings.Site) *Entry {
	e := &Entry{
		Site:    site,
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.list,
		Codec:   passageCodec{},
		Decode:  testCatalog,
	}
	e.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		entry: e,
		end:   cancel,
		done:  make(chan struct{}),
	}
	f.vms[e.Site.Name] = p
	go func() {
		defer close(p.done)
		e.Run(ctx)
	}()
	return e
}

// routes are those of every document: streams that go on elsewhere, and answers
// that may be repeated or not.
func routes() []*catalog.Route {
	var list []*catalog.Route
	for _, r := range []struct {
		name   string
		repeat persimmoncross.Repeat
		most   int
	}{
		{"stream", persimmoncross.RepeatResume, 3},
		{"safe", persimmoncross.RepeatFreely, 3},
		{"once", persimmoncross.RepeatNever, 1},
	} {
		list = append(list, &catalog.Route{
			Name:        r.name,
			Host:        "h",
			Prefix:      "/" + r.name + "/",
			Repeat:      r.repeat,
			Stream:      r.name == "stream",
			Timeout:     10 * time.Second,
			Objective:   3 * time.Second,
			MaxAttempts: r.most,
			Split: []catalog.Share{
				{
					Service: "s",
					Weight:  1,
				},
			},
		})
	}
	return list
}

func (f *fleet) stop(name string) {
	p := f.vms[name]
	delete(f.vms, name)
	p.end()
	<-p.done
}

// wipe loses the disk of a stopped VM.
func (f *fleet) wipe(n int) {
	if err := os.RemoveAll(f.site(n, false).Data); err != nil {
		f.t.Fatal(err)
	}
}

// await waits until the condition holds; what it waits for has no bound in time
// that a busy machine could break.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for range 6000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("never: %s", what)
}

// declare offers a document until it is acknowledged.
func (f *fleet) declare(c *Controller, number uint64) {
	f.t.Helper()
	f.await(fmt.Sprint("document ", number, " is kept"), func() bool {
		return c.Declare(context.Background(), number, []byte(fmt.Sprint(number))) == nil
	})
}

// read returns the number in force.
func (f *fleet) read(c *Controller) uint64 {
	f.t.Helper()
	number := uint64(0)
	f.await("a read is answered", func() bool {
		s, err := c.Read(context.Background())
		if err == nil {
			number = s.Number
		}
		return err == nil
	})
	return number
}

// voters waits until so many members vote, none of them of a lost identity.
func (f *fleet) voters(c *Controller, n int) {
	f.t.Helper()
	f.await(fmt.Sprint(n, " voters"), func() bool { return len(c.group.View().Set.Voters) == n })
}
