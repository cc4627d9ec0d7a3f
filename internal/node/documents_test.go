package node

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/packed"
	"persimmoncross/io/protocol/wire"
)

// TestDocumentsInParts checks that a document is sent whole when the controller no longer keeps the
// entry's document as a base, and that parts which can't be assembled yield no document.
func TestDocumentsInParts(t *testing.T) {
	base, next := testDocument(1, 300), testDocument(2, 301)
	parts := func(t *documentTransfer) []*wire.Part {
		var all []*wire.Part
		for last := false; !last; {
			var p *wire.Part
			p, last = t.nextPart()
			all = append(all, p)
		}
		return all
	}
	s := &documentStore{}
	addDocument := func(number uint64, source []byte) {
		s.add(number, source, func() []byte { return packed.Whole(source) })
	}
	addDocument(1, base)
	addDocument(2, next)
	addDocument(1, base) // an older document is ignored
	if s.newTransfer(2, packed.Sum(next)) != nil || s.newTransfer(3, 0) != nil {
		t.Error("a document is sent to a follower that has it or a later one")
	}
	if got := s.newTransfer(1, packed.Sum(base)+1); got.base != 0 {
		t.Error("packed against a document that the entry does not have")
	}
	whole, delta := parts(s.newTransfer(0, 0)), parts(s.newTransfer(1, packed.Sum(base)))
	large := &documentTransfer{
		document: document{
			number:   2,
			checksum: packed.Sum(next),
		},
		data: append(packed.Whole(next), make([]byte, 3*maxPartBytes)...),
	}
	largeParts := parts(large)
	damaged := proto.Clone(delta[0]).(*wire.Part)
	damaged.Sum++
	oversized := proto.Clone(delta[0]).(*wire.Part)
	oversized.Size = 1 << 31
	for _, tt := range []struct {
		name  string
		parts []*wire.Part
		held  []byte
		ok    bool
	}{
		{"whole", whole, nil, true},
		{"the difference", delta, base, true},
		{"the difference, without the base", delta, nil, false},
		{"the difference, with another base", delta, testDocument(1, 299), false},
		{"another checksum", []*wire.Part{damaged}, base, false},
		{"a part is missing", append(largeParts[:1:1], largeParts[2:]...), nil, false},
		{"a part comes twice", append(largeParts[:1:1], largeParts...), nil, false},
		{"started again", append(largeParts[:2:2], whole...), nil, true},
		{"without the first part", largeParts[1:], nil, false},
		{"larger than any document", []*wire.Part{oversized}, base, false},
		{"trailing bytes after the document", largeParts, nil, false},
	} {
		assembly := &partialDocument{}
		var got []byte
		var err error
		for _, p := range tt.parts {
			if got, err = assembly.addPart(p, func(uint64) []byte { return tt.held }); err != nil {
				break
			}
		}
		if tt.ok && (err != nil || !bytes.Equal(got, next)) || !tt.ok && got != nil {
			t.Errorf("%s: %d bytes, %v", tt.name, len(got), err)
		}
	}
	for number := range uint64(2 * maxKeptDocuments) {
		addDocument(3+number, testDocument(3+number, 300))
	}
	if got := s.newTransfer(1, packed.Sum(base)); got.base != 0 || len(s.documents) != maxKeptDocuments {
		t.Errorf("packed against document %d, want none; %d documents are kept", got.base, len(s.documents))
	}
}

// TestDamagedDocumentIsFetchedWhole checks that an entry whose document matches no base of the
// controllers still receives the next document.
func TestDamagedDocumentIsFetchedWhole(t *testing.T) {
	f := newFleet(t, 83)
	var controllers []*Controller
	for n := 1; n <= 3; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	f.declareDocument(controllers[0], 1, testDocument(1, 100))
	e := f.startEntry(6)
	f.waitForDocument(e, 1)
	e.mu.Lock()
	e.document.source = testDocument(1, 99) // the source no longer matches the checksum
	e.mu.Unlock()
	f.declareDocument(controllers[0], 2, testDocument(2, 101))
	f.waitForDocument(e, 2)
	if n := metrics.GetOrRegisterCounter("follow.document.damaged", e.Metrics).Count(); n == 0 {
		t.Error("the damaged document was not counted")
	}
}

// TestLongListsInParts checks that a list of thousands of upstreams is sent in parts, and that it
// is applied only once it is complete.
func TestLongListsInParts(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	newUpstreams := func(n int, leaving bool) []persimmoncross.Upstream {
		var all []persimmoncross.Upstream
		for i := range n {
			all = append(all, persimmoncross.Upstream{
				Name:     fmt.Sprintf("u%05d", i),
				Service:  "s",
				Address:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)),
				Draining: leaving,
			})
		}
		return all
	}
	var got []persimmoncross.Upstream
	applied := 0
	f := &follower{
		ApplyUpdate: func(u *wire.Update) bool {
			if u.GetListed() {
				got = upstreamsOf(u)
				applied++
			}
			return true
		},
	}
	a, s := &controllerStream{}, &followerState{}
	for _, want := range [][]persimmoncross.Upstream{newUpstreams(4_100, false), newUpstreams(4_100, true), newUpstreams(10, true), nil} {
		pub.setList(want, time.Now())
		applied = 0
		for first := true; first || s.hasPending(); first = false {
			u, _ := pub.nextUpdate(s, true, nil)
			if n := proto.Size(u); n > 20<<10 {
				t.Errorf("an update of %d bytes, want at most 20 KiB", n)
			}
			if s.hasPending() && u.GetAge() >= 0 {
				t.Error("an update has the age of a list that is not complete yet")
			}
			if err := a.handleUpdate(f, u); err != nil {
				t.Fatal(err)
			}
		}
		if applied != 1 || !slices.EqualFunc(got, want, equalUpstream) {
			t.Fatalf("%d upstreams after the list was applied %d times, want %d after one", len(got), applied, len(want))
		}
	}
	prober := &followerState{
		probing: true,
		entry:   true,
	}
	pub.setList(newUpstreams(4_100, false), time.Now())
	if u, _ := pub.nextUpdate(prober, true, nil); u.GetListed() || u.GetAge() >= 0 || prober.hasPending() {
		t.Error("a follower that only probes is sent the list")
	}
}

// TestPackingDoesNotBlock checks that a newer document can be added while an older one is being
// packed, so that the log is not blocked. A follower that waits for the older document receives
// it, and its packed form is not kept for other followers.
func TestPackingDoesNotBlock(t *testing.T) {
	s := &documentStore{}
	first, second := testDocument(1, 50), testDocument(2, 51)
	started, proceed := make(chan struct{}), make(chan struct{})
	packCount := 0
	s.add(1, first, func() []byte {
		packCount++
		close(started)
		<-proceed
		return packed.Whole(first)
	})
	var group sync.WaitGroup
	got := make([]*documentTransfer, 3)
	group.Go(func() { got[0] = s.newTransfer(0, 0) })
	<-started
	s.add(2, second, func() []byte { return packed.Whole(second) }) // must not wait for the first packing
	group.Go(func() { got[1] = s.newTransfer(0, 0) })
	group.Go(func() { got[2] = s.newTransfer(1, packed.Sum(first)) })
	close(proceed)
	group.Wait()
	for i, want := range []struct {
		number, base uint64
		source       []byte
	}{{1, 0, first}, {2, 0, second}, {2, 1, second}} {
		var base []byte
		if want.base == 1 {
			base = first
		}
		unpacked, err := packed.Open(got[i].data, base)
		if err != nil || got[i].document.number != want.number || got[i].base != want.base || !bytes.Equal(unpacked, want.source) {
			t.Errorf("%d: document %d packed against %d, %v", i, got[i].document.number, got[i].base, err)
		}
	}
	if packCount != 1 || !bytes.Equal(s.packedByBase[0], packed.Whole(second)) {
		t.Errorf("packed %d times, want once, or the packed document that was kept is not the newest", packCount)
	}
	if again := s.newTransfer(0, 0); &again.data[0] != &s.packedByBase[0][0] {
		t.Error("the newest document is packed again for each follower")
	}
}
