package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/packed"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// The tests in this file guard against large documents that never reach the entries. A change
// that added 1,400 routes was acknowledged, and so was the next one, but entries kept the
// document before these changes, and responded late or not at all. Every controller repeatedly
// exceeded its memory limit and was killed.
//
// The document grew from 3 KB to 0.4 MB. Each change, and each step of an upgrade, sent the whole
// document to every entry in one message, over links of 10 Mbit/s that carry callers' traffic
// too. An entry that waited for this message longer than the timeout of its stream left the
// controller and asked all controllers in parallel, and each sent the whole document again.
// Streams that were left were not released: the controller's side waited, with the encoded
// document, for a reader that was gone, and the entry kept the bytes that it had received.
//
// The cause was that the bytes of a message, of a search and of a stream that was left grew with
// the document, but the timeout, the bandwidth and the memory available for them did not. The
// links to entries were saturated with documents while 71 of 74 entries left their controllers
// by timeout and none had the new document; the memory of controllers grew by 20 MB a second to
// its limit. The first two tests below failed on that code, each for one part of the cause. The
// incident is described in docs/incidents/large-documents.md.

// testDocument returns a document with the given number and count of routes. Routes at the same
// position are the same in every document.
func testDocument(number uint64, routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	b := &strings.Builder{}
	fmt.Fprintf(b, "%d\n", number)
	for range routes {
		fmt.Fprintf(b, `{"name":"r-%08x","host":"h%x.example","prefix":"/%x/","repeat":"freely","timeout":"1000ms","objective":"150ms",`+
			`"priority":0,"split":[{"service":"s","weight":1}],"attempts":3,"open":false,"sticky":false,"resumes":false,`+
			`"longest pause between events":"0ms","models":[],"note":""},`+"\n", random.Uint32(), random.Uint32N(1<<16), random.Uint64())
	}
	return []byte(b.String())
}

// Numbers of routes in a document: manyRoutes were added at once in the incident, and maxRoutes
// fill a document of the largest size that a caller's body may have.
const (
	manyRoutes = 1_400
	maxRoutes  = 15_000
)

// slowLink is the network link of a VM. All connections over it share its bandwidth.
type slowLink struct {
	bytesPerSecond float64 // bandwidth towards the VM

	mu        sync.Mutex // guards freeAt
	freeAt    time.Time  // when the link has sent all bytes accepted so far
	sentBytes atomic.Int64
}

// forward proxies a connection, towards the client at the link's bandwidth.
func (l *slowLink) forward(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		io.Copy(server, client)
		server.Close()
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := server.Read(buffer)
		if err != nil {
			return
		}
		l.sentBytes.Add(int64(n))
		l.waitToSend(n)
		if _, err := client.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *slowLink) waitToSend(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// proxyControllers starts a proxy over the link for each controller, and returns the addresses of
// the proxies by the controller's address.
func (l *slowLink) proxyControllers(t *testing.T, controllers []*Controller) map[string]netip.AddrPort {
	t.Helper()
	proxies := map[string]netip.AddrPort{}
	for _, c := range controllers {
		target := c.Site.Peer.String()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				client, err := listener.Accept()
				if err != nil {
					return
				}
				go l.forward(client, target)
			}
		}()
		proxies[target] = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return proxies
}

// declareDocument publishes a document, and retries until it is acknowledged.
func (f *fleet) declareDocument(c *Controller, number uint64, document []byte) {
	f.t.Helper()
	f.waitFor(fmt.Sprint("document ", number, " is acknowledged"), func() bool {
		return c.PublishDocument(context.Background(), number, document) == nil
	})
}

// waitForDocument waits until the document is in force at the entry.
func (f *fleet) waitForDocument(e *Entry, number uint64) {
	f.t.Helper()
	f.waitFor(fmt.Sprint("document ", number, " is in force"), func() bool {
		v := e.view.Load()
		return v != nil && v.Catalog != nil && v.Catalog.Number == number
	})
}

// TestLargeDocumentsOverSlowLinks checks that documents of the largest size come into force at
// entries whose links have a fifth of a small VM's bandwidth, one after the other and at the start
// of an entry.
func TestLargeDocumentsOverSlowLinks(t *testing.T) {
	f := newFleet(t, 80)
	var controllers []*Controller
	for n := 1; n <= 3; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	f.declareDocument(controllers[0], 1, testDocument(1, 10))
	link := &slowLink{
		bytesPerSecond: 250e3,
	}
	e := f.startEntryVia(6, link.proxyControllers(t, controllers))
	f.waitForDocument(e, 1)
	f.declareDocument(controllers[1], 2, testDocument(2, manyRoutes))
	f.declareDocument(controllers[2], 3, testDocument(3, manyRoutes+1))
	f.waitForDocument(e, 3)
	f.declareDocument(controllers[0], 4, testDocument(4, maxRoutes))
	f.waitForDocument(e, 4)
	lateEntry := f.startEntryVia(7, link.proxyControllers(t, controllers))
	f.waitForDocument(lateEntry, 4)
}

// followStreamCount returns the number of streams to followers that are open in this process.
func followStreamCount() int {
	stacks := make([]byte, 4<<20)
	return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "node.(*peerHandler).serveFollower(")
}

// TestDisconnectedFollowersAreReleased checks that a controller releases the stream of a follower
// that disconnects in the middle of a document.
func TestDisconnectedFollowersAreReleased(t *testing.T) {
	f := newFleet(t, 81)
	var controllers []*Controller
	for n := 1; n <= 3; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	f.declareDocument(controllers[0], 1, testDocument(1, maxRoutes))
	f.waitFor("the other controllers follow the leader", func() bool { return followStreamCount() == 2 })
	followerNode := &peer.Node{
		VM:      "127.0.0.1:1",
		Open:    true,
		Clock:   persimmoncross.SystemClock{},
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
	}
	followerNode.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go followerNode.Run(ctx)
	for n := range 30 {
		var s *peer.Stream
		f.waitFor("the controller answers", func() bool {
			var err error
			s, err = followerNode.Call(ctx, controllers[0].Site.Peer.String(), &wire.Call{
				Body: &wire.Call_Follow{
					Follow: &wire.Follow{
						Vm:    fmt.Sprint("left", n),
						Entry: true,
					},
				},
			})
			return err == nil
		})
		if err := s.Send(&wire.Account{}); err != nil {
			t.Fatal(err)
		}
		f.waitFor("the stream is open", func() bool { return followStreamCount() > 2 })
		// Nothing reads from the stream; wait until its buffers are full.
		time.Sleep(10 * time.Millisecond)
		s.Close()
	}
	f.waitFor("the streams of the disconnected followers are released", func() bool { return followStreamCount() == 2 })
}

// bytesSentDuring returns the bytes sent over the link during the operation.
func (l *slowLink) bytesSentDuring(operation func()) int64 {
	before := l.sentBytes.Load()
	operation()
	return l.sentBytes.Load() - before
}

// TestUpdatesSendOnlyChanges checks that only changes are sent to an entry: neither the unchanged
// routes of a document, nor the document at a step of an upgrade, nor a copy from each controller
// that the entry queries.
func TestUpdatesSendOnlyChanges(t *testing.T) {
	f := newFleet(t, 82)
	var controllers []*Controller
	for n := 1; n <= 3; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	first := testDocument(1, manyRoutes)
	f.declareDocument(controllers[0], 1, first)
	packedSize := len(packed.Whole(first))
	// Beside the document the stream carries periodic updates, of six bytes at least, and the names
	// of the controllers. The bounds below leave 8 KB for them.
	const maxOverheadBytes = 8 << 10
	link := &slowLink{
		bytesPerSecond: 10e6,
	}
	var e *Entry
	if got := link.bytesSentDuring(func() {
		e = f.startEntryVia(6, link.proxyControllers(t, controllers))
		f.waitForDocument(e, 1)
	}); got > int64(packedSize)+maxOverheadBytes {
		t.Errorf("the start of an entry took %d bytes, the packed document has %d", got, packedSize)
	}
	if got := link.bytesSentDuring(func() {
		f.declareDocument(controllers[1], 2, testDocument(2, manyRoutes+1))
		f.waitForDocument(e, 2)
	}); got > maxOverheadBytes {
		t.Errorf("a change of one route took %d bytes", got)
	}
	if got := link.bytesSentDuring(func() {
		f.waitFor("an upgrade begins", func() bool { return controllers[2].BeginUpgrade(context.Background(), "s", "v2", time.Second) == nil })
		f.waitFor("the upgrade has ended", func() bool {
			v := e.view.Load()
			return v.Upgrades["s"].Stage.Ended()
		})
	}); got > 4*maxOverheadBytes {
		t.Errorf("an upgrade took %d bytes", got)
	}
	if got := link.bytesSentDuring(func() {
		for _, name := range []string{"vm1", "vm2", "vm3"} {
			f.stop(name)
		}
		for n := 1; n <= 3; n++ {
			controllers[n-1] = f.startController(n, false)
		}
		f.declareDocument(controllers[0], 3, testDocument(3, manyRoutes))
		f.waitForDocument(e, 3)
	}); got > 4*maxOverheadBytes {
		t.Errorf("a restart of all controllers took %d bytes", got)
	}
}
