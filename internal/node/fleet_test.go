package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/transport/disk"
)

// fleet runs controllers and entries, each on its own loopback address. As on VMs, all have the
// same peer port.
type fleet struct {
	t         *testing.T
	peerPort  uint16
	seeds     []netip.AddrPort
	lister    *fakeLister
	dataDir   string
	subnet    int // third byte of the addresses
	processes map[string]*testProcess
}

type testProcess struct {
	controller *Controller
	entry      *Entry
	cancel     context.CancelFunc
	done       chan struct{}
}

// fakeLister is a fake of the platform's list of upstreams.
type fakeLister struct {
	mu        sync.Mutex // guards all below
	upstreams []persimmoncross.Upstream
	calls     int
	failing   bool
}

func (l *fakeLister) ListUpstreams(context.Context) ([]persimmoncross.Upstream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.failing {
		return nil, errors.New("the list of upstreams is unavailable")
	}
	return l.upstreams, nil
}

func (l *fakeLister) setFailing(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = failing
}

func (l *fakeLister) setUpstreams(upstreams ...persimmoncross.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams = upstreams
}

func newFleet(t *testing.T, subnet int) *fleet {
	t.Helper()
	f := &fleet{
		t:         t,
		lister:    &fakeLister{},
		dataDir:   t.TempDir(),
		subnet:    subnet,
		processes: map[string]*testProcess{},
	}
	l, err := net.Listen("tcp", f.address(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	f.peerPort = netip.MustParseAddrPort(l.Addr().String()).Port()
	l.Close()
	for n := 1; n <= 3; n++ {
		f.seeds = append(f.seeds, netip.AddrPortFrom(netip.MustParseAddr(f.address(n)), 1))
	}
	f.lister.setUpstreams(persimmoncross.Upstream{
		Name:    "u1",
		Service: "s",
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Slots:   1,
	})
	t.Cleanup(func() {
		for name := range f.processes {
			f.stop(name)
		}
	})
	return f
}

// address returns the loopback address of a VM. Test processes that run side by side have addresses of
// their own, so that none takes a port which another has chosen.
func (f *fleet) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, f.subnet, n)
}

func (f *fleet) siteSettings(n int, founding bool) *settings.Site {
	return &settings.Site{
		Name:     fmt.Sprint("vm", n),
		Peer:     netip.AddrPortFrom(netip.MustParseAddr(f.address(n)), f.peerPort),
		Data:     filepath.Join(f.dataDir, fmt.Sprint(n)),
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

// prepareController returns the controller with the number, prepared but not running.
func (f *fleet) prepareController(n int, founding bool) *Controller {
	f.t.Helper()
	c := &Controller{
		Site:    f.siteSettings(n, founding),
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.lister,
	}
	if err := c.Prepare(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// startController starts the controller with the number.
func (f *fleet) startController(n int, founding bool) *Controller {
	f.t.Helper()
	return f.runController(f.prepareController(n, founding))
}

// runController runs a controller, and prepares it first if that has not been done.
func (f *fleet) runController(c *Controller) *Controller {
	f.t.Helper()
	if c.store == nil {
		if err := c.Prepare(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &testProcess{
		controller: c,
		cancel:     cancel,
		done:       make(chan struct{}),
	}
	f.processes[c.Site.Name] = p
	go func() {
		defer close(p.done)
		c.Run(ctx)
	}()
	return c
}

// startEntry starts the entry with the number.
func (f *fleet) startEntry(n int) *Entry { return f.startEntryVia(n, nil) }

// startEntryVia starts an entry that connects to controllers at the addresses in via, keyed by
// the controller's own address.
func (f *fleet) startEntryVia(n int, via map[string]netip.AddrPort) *Entry {
	site := f.siteSettings(n, true)
	site.Via = via
	return f.startEntryAtSite(site)
}

// decodeTestCatalog decodes a document into a catalog with the number at the start of the document and the
// organisations named after it, whose keys are their names. Without organisations requests need no key.
// The routes are the same for every document.
func decodeTestCatalog(document []byte) (*catalog.Catalog, error) {
	c := &catalog.Catalog{
		Routes: testRoutes(),
		Services: map[string]*catalog.Service{
			"s": {
				Name: "s",
			},
		},
	}
	number, organisations, _ := strings.Cut(string(document), " ")
	for name := range strings.FieldsSeq(organisations) {
		c.Keyed = true
		c.Organisations = append(c.Organisations, &catalog.Organisation{
			Name: name,
			Keys: []string{name},
		})
	}
	c.Index()
	_, err := fmt.Sscan(number, &c.Number)
	return c, err
}

// startEntryAtSite starts an entry with the site settings.
func (f *fleet) startEntryAtSite(site *settings.Site) *Entry {
	return f.startEntryWith(site, func(*Entry) {})
}

// startEntryWith starts an entry after set has changed its fields.
func (f *fleet) startEntryWith(site *settings.Site, set func(*Entry)) *Entry {
	e := &Entry{
		Site:    site,
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.lister,
		Codec:   testCodec{},
		Decode:  decodeTestCatalog,
	}
	set(e)
	e.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	p := &testProcess{
		entry:  e,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	f.processes[e.Site.Name] = p
	go func() {
		defer close(p.done)
		e.Run(ctx)
	}()
	return e
}

// testRoutes returns the routes of every document: streams that are resumed at another upstream,
// and requests that may be retried or not.
func testRoutes() []*catalog.Route {
	var list []*catalog.Route
	for _, r := range []struct {
		name        string
		repeat      persimmoncross.RetryMode
		maxAttempts int
	}{
		{"stream", persimmoncross.RetryResume, 3},
		{"safe", persimmoncross.RetryFreely, 3},
		{"once", persimmoncross.RetryNever, 1},
	} {
		list = append(list, &catalog.Route{
			Name:        r.name,
			Host:        "h",
			Prefix:      "/" + r.name + "/",
			Repeat:      r.repeat,
			Stream:      r.name == "stream",
			Timeout:     10 * time.Second,
			Objective:   3 * time.Second,
			MaxAttempts: r.maxAttempts,
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
	p := f.processes[name]
	delete(f.processes, name)
	p.cancel()
	<-p.done
}

// deleteData deletes the data folder of a stopped VM, like the loss of its disk.
func (f *fleet) deleteData(n int) {
	if err := os.RemoveAll(f.siteSettings(n, false).Data); err != nil {
		f.t.Fatal(err)
	}
}

// cutLog makes the log of a stopped controller lack entries before its last one.
func (f *fleet) cutLog(n int) {
	f.t.Helper()
	folder, err := disk.OpenFolder(f.siteSettings(n, false).Data)
	if err != nil {
		f.t.Fatal(err)
	}
	defer folder.Close()
	log, err := disk.OpenLog(folder, groupName)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	hardState, _, entries, err := log.Load()
	if err != nil {
		f.t.Fatal(err)
	}
	const missing = 3
	if err := log.Append(nil, []persimmoncross.Entry{
		{
			Index: entries[len(entries)-1].Index + 1 + missing,
			Term:  hardState.Term,
			Kind:  persimmoncross.EntryNoop,
		},
	}); err != nil {
		f.t.Fatal(err)
	}
}

// waitFor waits until the condition holds, and fails the test if it does not hold after 6000
// checks at intervals of 10 ms. This limit is so long that a busy machine does not reach it.
func (f *fleet) waitFor(description string, condition func() bool) {
	f.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out; never happened: %s", description)
}

// declare publishes a document, and retries until it is acknowledged.
func (f *fleet) declare(c *Controller, number uint64) {
	f.t.Helper()
	f.waitFor(fmt.Sprint("document ", number, " is acknowledged"), func() bool {
		return c.PublishDocument(context.Background(), number, []byte(fmt.Sprint(number))) == nil
	})
}

// readDocumentNumber returns the number of the document in force, read through the controller.
func (f *fleet) readDocumentNumber(c *Controller) uint64 {
	f.t.Helper()
	number := uint64(0)
	f.waitFor("a read is answered", func() bool {
		s, err := c.ReadState(context.Background())
		if err == nil {
			number = s.Number
		}
		return err == nil
	})
	return number
}

// waitForVoters waits until the voter configuration has n voters.
func (f *fleet) waitForVoters(c *Controller, n int) {
	f.t.Helper()
	f.waitFor(fmt.Sprint(n, " voters"), func() bool { return len(c.group.View().Config.Voters) == n })
}
