package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// Parameters of upstreams that crash.
const (
	crashBodyPrefix = "poison " // prefix of request bodies that crash the upstream
	restartDelay    = 400 * time.Millisecond
	crashDelay      = 20 * time.Millisecond // from the start of an execution to the crash
)

// testCodec is a codec for the fake upstreams below.
type testCodec struct{}

func (testCodec) Encode(h http.Header, a *persimmoncross.ProxyAttempt, _ time.Duration) {
	h.Set("Request", a.Request.ID)
	h.Set("Incarnation", a.Upstream.Name)
	if a.LastEventID != "" {
		h.Set("After", a.LastEventID)
	}
}

func (testCodec) Decode(status int, h http.Header) persimmoncross.ProxyResponseHead {
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	rejections, _ := strconv.ParseFloat(h.Get("Rejections"), 64)
	var load *persimmoncross.UpstreamLoad
	var running, waiting, slots int
	if n, _ := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &running, &waiting, &slots); n == 3 {
		load = &persimmoncross.UpstreamLoad{
			Running: running,
			Waiting: waiting,
			Slots:   slots,
		}
	}
	return persimmoncross.ProxyResponseHead{
		Status:          status,
		RequestID:       h.Get("Request"),
		HasSignature:    true,
		Misdirected:     status == http.StatusMisdirectedRequest,
		ModelConfidence: -1,
		RateLimit:       limit,
		MaxRejections:   rejections,
		NotRun:          h.Get("Not-Run") != "",
		Load:            load,
	}
}

// receivedRequest is a request that reached an upstream.
type receivedRequest struct {
	body       string
	at         time.Time
	upstream   *fakeUpstream
	dataCentre string
}

// fakeUpstreamSet is a set of upstreams that some requests crash. An upstream that has crashed
// restarts at its address after restartDelay, with another incarnation.
type fakeUpstreamSet struct {
	lister *fakeLister

	mu              sync.Mutex // guards all below
	eventsPerStream int
	eventInterval   time.Duration
	restartDelay    time.Duration
	all             []*fakeUpstream
	requests        []receivedRequest
	crashTimes      map[string][]time.Time // crash times of upstreams, by the body that crashed them
	lastIncarnation int
	closed          bool
	// abortPercent is the percentage of responses that are aborted while the upstream keeps
	// running.
	abortPercent int
	// failPercent is the percentage of requests that are answered with a complete error response at once.
	failPercent int
	// headless says that an upstream crashes before the head of its response.
	headless   bool
	crashDelay time.Duration // from the start of an execution to the crash
	// listDelay is the time from the restart of an upstream to the update of the list.
	listDelay time.Duration
	// proxied puts a proxy in front of each upstream. While the upstream is down, the proxy
	// accepts connections and closes them.
	proxied bool
}

// fakeUpstream is one address of the set, at which an upstream runs and is restarted.
type fakeUpstream struct {
	set         *fakeUpstreamSet
	address     netip.AddrPort
	dataCentre  string  // "a" and "b" in turn
	rateLimit   float64 // announced in the responses, 0: none; guarded by set.mu
	incarnation string
	server      *http.Server
	proxy       *fakeProxy // nil: the upstream itself listens
}

// fakeProxy accepts connections for an upstream, and closes them while the upstream is down. It
// serves one instance of the upstream at a time.
type fakeProxy struct {
	net.Listener
	set          *fakeUpstreamSet
	accepted     chan net.Conn
	upstreamDown bool // guarded by set.mu
}

// acceptLoop accepts connections and passes them to the current instance until the listener is
// closed.
func (p *fakeProxy) acceptLoop() {
	for {
		c, err := p.Listener.Accept()
		if err != nil {
			return
		}
		p.set.mu.Lock()
		down := p.upstreamDown
		p.set.mu.Unlock()
		if down {
			c.Close()
			continue
		}
		p.accepted <- c
	}
}

// proxyListener is the listener of one instance behind a fakeProxy. Closing it leaves the proxy's
// listener open for the next instance.
type proxyListener struct {
	*fakeProxy
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *proxyListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *proxyListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func newFakeUpstreams(t *testing.T, lister *fakeLister, size int) *fakeUpstreamSet {
	t.Helper()
	return newFakeUpstreamsWithProxies(t, lister, size, false)
}

// newFakeUpstreamsWithProxies returns a set of upstreams, with proxies in front of them if proxied
// is set.
func newFakeUpstreamsWithProxies(t *testing.T, lister *fakeLister, size int, proxied bool) *fakeUpstreamSet {
	t.Helper()
	set := &fakeUpstreamSet{
		lister:          lister,
		eventsPerStream: 6,
		eventInterval:   10 * time.Millisecond,
		restartDelay:    restartDelay,
		crashDelay:      crashDelay,
		crashTimes:      map[string][]time.Time{},
		proxied:         proxied,
	}
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		u := &fakeUpstream{
			set:     set,
			address: listener.Addr().(*net.TCPAddr).AddrPort(),

			dataCentre: []string{"a", "b"}[len(set.all)%2],
		}
		if proxied {
			u.proxy = &fakeProxy{
				Listener: listener,
				set:      set,
				accepted: make(chan net.Conn),
			}
			go u.proxy.acceptLoop()
			t.Cleanup(func() { u.proxy.Close() })
		}
		set.all = append(set.all, u)
		set.mu.Lock()
		u.start(listener)
		set.mu.Unlock()
	}
	set.publishList()
	t.Cleanup(func() {
		set.mu.Lock()
		defer set.mu.Unlock()
		set.closed = true
		for _, u := range set.all {
			if u.server != nil {
				u.server.Close()
			}
		}
	})
	return set
}

// start starts an instance of the upstream. The caller holds set.mu.
func (u *fakeUpstream) start(listener net.Listener) {
	if u.proxy != nil {
		u.proxy.upstreamDown = false
		listener = &proxyListener{
			fakeProxy: u.proxy,
			closed:    make(chan struct{}),
		}
	}
	u.set.lastIncarnation++
	u.incarnation = fmt.Sprint("i", u.set.lastIncarnation)
	u.server = &http.Server{
		Handler: u.handler(u.incarnation),
	}
	go u.server.Serve(listener)
}

// publishList sets the list. An upstream that has crashed stays in it with its old incarnation
// until it is restarted.
func (s *fakeUpstreamSet) publishList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []persimmoncross.Upstream
	for _, u := range s.all {
		list = append(list, persimmoncross.Upstream{
			Name:       u.incarnation,
			Service:    "s",
			Address:    u.address,
			DataCentre: u.dataCentre,
			Version:    "v1",
			Slots:      64,
		})
	}
	s.lister.setUpstreams(list...)
}

// crash stops the upstream's server with all its connections, and restarts it after restartDelay.
// It records the crash for the body unless the body is empty.
func (u *fakeUpstream) crash(body string) {
	set := u.set
	set.mu.Lock()
	server := u.server
	u.server = nil
	if u.proxy != nil {
		u.proxy.upstreamDown = true
	}
	if server != nil && body != "" {
		set.crashTimes[body] = append(set.crashTimes[body], time.Now())
	}
	delay := set.restartDelay
	set.mu.Unlock()
	if server == nil {
		return
	}
	server.Close()
	time.AfterFunc(delay, u.restart)
}

// restart starts the next instance at the address.
func (u *fakeUpstream) restart() {
	set := u.set
	for range 500 {
		listener, err := net.Listener(nil), error(nil)
		if u.proxy == nil {
			listener, err = net.Listen("tcp", u.address.String())
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		set.mu.Lock()
		switch {
		case !set.closed:
			u.start(listener)
		case listener != nil:
			listener.Close()
		}
		listDelay := set.listDelay
		set.mu.Unlock()
		time.AfterFunc(listDelay, set.publishList)
		return
	}
}

// handler returns the handler of one instance.
func (u *fakeUpstream) handler(incarnation string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		body := string(text)
		w.Header().Set("Request", r.Header.Get("Request"))
		if r.Header.Get("Incarnation") != incarnation {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		set := u.set
		set.mu.Lock()
		set.requests = append(set.requests, receivedRequest{
			body:     body,
			at:       time.Now(),
			upstream: u,

			dataCentre: u.dataCentre,
		})
		if u.rateLimit > 0 {
			w.Header().Set("Limit", fmt.Sprint(u.rateLimit))
		}
		abort := set.abortPercent > 0 && len(set.requests)*37%100 < set.abortPercent
		fails := rand.IntN(100) < set.failPercent
		crashes := strings.HasPrefix(body, crashBodyPrefix)
		headless, crashDelay := set.headless, set.crashDelay
		eventsPerStream, eventInterval := set.eventsPerStream, set.eventInterval
		set.mu.Unlock()
		if fails {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		isStream := strings.HasPrefix(r.URL.Path, "/stream/")
		if isStream && !(crashes && headless) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush()
		}
		if crashes {
			time.Sleep(crashDelay)
			u.crash(body)
			panic(http.ErrAbortHandler) // also if another request has just crashed the upstream
		}
		lastEvent, _ := strconv.Atoi(r.Header.Get("After"))
		for n := lastEvent + 1; isStream && n <= eventsPerStream; n++ {
			time.Sleep(eventInterval)
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			http.NewResponseController(w).Flush()
			if abort && n == eventsPerStream/2 {
				panic(http.ErrAbortHandler)
			}
		}
		if !isStream {
			time.Sleep(eventInterval)
			if abort {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, body)
		}
	}
}

// requestCount returns how many requests with the body arrived after the time.
func (s *fakeUpstreamSet) requestCount(body string, after time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if r.body == body && r.at.After(after) {
			n++
		}
	}
	return n
}

// lastRequestTime returns when the last request with the body arrived, the zero time if none did.
func (s *fakeUpstreamSet) lastRequestTime(body string) (last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if r.body == body && r.at.After(last) {
			last = r.at
		}
	}
	return last
}

// nthCrashTime returns when the body crashed the n-th upstream, false if it crashed fewer.
func (s *fakeUpstreamSet) nthCrashTime(body string, n int) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := slices.Clone(s.crashTimes[body])
	if len(times) < n {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[n-1], true
}

// responseRecorder records a response.
type responseRecorder struct {
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) WriteHead(h persimmoncross.ProxyResponseHead) error {
	r.status = h.Status
	return nil
}

func (r *responseRecorder) Write(p []byte) error {
	_, err := r.body.Write(p)
	return err
}

func (r *responseRecorder) Flush() error { return nil }

var requestIDs struct {
	mu   sync.Mutex // guards last
	last int
}

// sendRequest sends a request with a new ID to an entry, and returns the response and the
// refusal, nil for none.
func sendRequest(e *Entry, route, body string) (*responseRecorder, *persimmoncross.Refusal) {
	return sendPrompt(e, route, body)
}

// sendPrompt is sendRequest for a request whose prompt has the given parts.
func sendPrompt(e *Entry, route, body string, parts ...string) (*responseRecorder, *persimmoncross.Refusal) {
	return sendKeyedPrompt(e, "", route, body, parts...)
}

// sendKeyedPrompt is sendPrompt for the holder of a key.
func sendKeyedPrompt(e *Entry, key, route, body string, parts ...string) (*responseRecorder, *persimmoncross.Refusal) {
	requestIDs.mu.Lock()
	requestIDs.last++
	id := fmt.Sprint("p", requestIDs.last)
	requestIDs.mu.Unlock()
	now := time.Now()
	p := &persimmoncross.ProxyRequest{
		ID:            id,
		Method:        http.MethodPost,
		Host:          "h",
		Path:          "/" + route + "/x",
		RequestTarget: "/" + route + "/x",
		APIKey:        key,
		Header:        http.Header{},
		Body:          []byte(body),
		BodyDigest:    sha256.Sum256([]byte(body)),
		ArrivedAt:     now,
		Deadline:      now.Add(10 * time.Second),
	}
	for _, id := range parts {
		p.PromptParts = append(p.PromptParts, persimmoncross.PromptPart{
			ID:     id,
			Tokens: 100,
		})
	}
	recorder := &responseRecorder{}
	return recorder, e.Relay().Serve(context.Background(), p, recorder)
}
