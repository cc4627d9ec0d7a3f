package settings

import (
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"persimmoncross"
)

// Site is the local file of a process in a fleet that finds its members by
// itself: a few first addresses are told, the others are learnt.
type Site struct {
	Name        string                    `json:"name" doc:"This VM's name, for logs."`
	DataCentre  string                    `json:"datacentre" doc:"The data centre that this VM stands in."`
	Peer        netip.AddrPort            `json:"peer" doc:"Where other VMs connect to; the port is the same on all VMs."`
	Via         map[string]netip.AddrPort `json:"via" doc:"Addresses by which this VM reaches others behind a gateway, by their peer addresses; left out: their own."`
	UpstreamVia map[string]netip.Addr     `json:"upstreamvia" doc:"Hosts by which an entry reaches upstreams behind a gateway that keeps their ports, by the upstreams' own hosts; left out: their own."`
	Caller      *netip.AddrPort           `json:"caller" doc:"Where an entry serves callers. A request's head may have twice the bytes (4 KB more are read of what comes with it) and take twice the time that the document in force allows, 64 KB and 10 s at most; its body may take 30 s, or until its deadline if that is sooner; a connection may be idle for twice the document's time, 90 s at most; the kernel is asked to hold 32 KB of a connection unread; writes end 5 s after the request's deadline, or after each 32 KB that are written later."`
	Ready       *netip.AddrPort           `json:"ready" doc:"Where an entry tells whether it takes new connections."`
	Operator    *netip.AddrPort           `json:"operator" doc:"Where a controller serves operators. A document may have 8 MB, an order 64 KB, and either may take 30 s to arrive; heads may have 64 KB and take 10 s, connections may be idle for 90 s; the kernel is asked to hold 64 KB of a connection unread; an operator has 5 s to read each 32 KB of an answer."`
	Metrics     *netip.AddrPort           `json:"metrics" doc:"Where metrics are served as text; left out: nowhere. A reader has 5 s for each 32 KB."`
	Data        string                    `json:"data" doc:"A controller's data folder, relative to this file."`
	Seeds       []netip.AddrPort          `json:"seeds" doc:"Addresses of some controllers; only the hosts are used, with this VM's own peer port."`
	Founding    bool                      `json:"founding" doc:"Whether the whole fleet starts for the first time, with empty disks: then the seeds found the group of voters."`
	Losses      int                       `json:"losses" doc:"How many controllers may be lost at once; twice that and one vote."`
	Regions     map[string]string         `json:"regions" doc:"The region of each data centre. An order on one that is not here and has no upstreams is refused."`
	Memory      int                       `json:"memory" doc:"Memory limit of the process in MB; 0: none. Messages of peers of over 4 KB may take an eighth of it while they arrive, 16 MB at least, and so may operators' documents, 8 MB at least; peers' streams may be as many as a quarter of it holds at 32 KB each, 4,096 without a limit."`
	Descriptors int                       `json:"descriptors" doc:"Descriptors that the process may have open, at most what the operating system allows; 0: that number. An eighth, 200 at most, is kept for files; of the rest callers' connections get 3/8 (and no more than half of the memory holds at 64 KB each), operators' and an entry's peers' 1/8 each, a controller's peers' 1/2, readiness and metrics 1/64 each, 8 at least. Beyond that the connection that has waited longest for its first request is closed, else the one that is idle for longest, else the new one."`
	List        SiteList                  `json:"list" doc:"The platform's list of upstreams."`
	Bounds      SiteBounds                `json:"bounds" doc:"What the operator promises its users."`
	Cascade     SiteCascade               `json:"cascade" doc:"How the model of a route with several is chosen."`
	Overload    SiteOverload              `json:"overload" doc:"What an entry does where requests compete for the capacity of the upstreams."`
	Log         string                    `json:"log" doc:"Least level of log lines: debug, info, warn or error; info if left out."`
}

// SiteList tells where the list of upstreams is read.
type SiteList struct {
	Address netip.AddrPort `json:"address" doc:"Where the list is served."`
	Rate    float64        `json:"rate" doc:"Calls a second that all VMs together may make."`
	Lag     time.Duration  `json:"lag" doc:"How far the list may be behind."`
}

// SiteCascade tells with which model to begin and which answers to take.
type SiteCascade struct {
	Start     int   `json:"start" doc:"Index of the model to begin with, smallest first; past the end: the largest."`
	Threshold []int `json:"threshold" doc:"For each model but the largest, the least confidence (0 to 100) of an answer that is taken."`
}

// SiteOverload tells which decisions under overload an entry makes, and for which services.
type SiteOverload struct {
	Mode       persimmoncross.OverloadMode   `json:"mode" doc:"on: all parts for all services; off; or auto: all parts but lending, for all services if one of the conditions declares overload, else for those whose upstreams report their pace. auto if left out."`
	Conditions []string                      `json:"conditions" doc:"Names of the conditions that the platform declares for the deployment."`
	Omit       []persimmoncross.OverloadPart `json:"omit" doc:"Parts that stay off: queue, lending, capacity, recall, shares, buffers."`
	Requests   int                           `json:"requests" doc:"Requests of one service that may wait at this entry; 128 if left out."`
	Memory     int                           `json:"memory" doc:"MB that this entry may hold for waiting requests and for callers and upstreams that read slowly, and, whatever the mode, for bodies: what a body has beyond 16 KB counts while it arrives and until its request has ended, bodies over 256 KB get three quarters of it, one alone always has room, and one of which less than 64 KB arrive in a second ends where another one finds no room. An eighth of the VM's memory limit if left out, 16 without such a limit."`
}

// SiteBounds are the promises that decisions are made from.
type SiteBounds struct {
	Drain         time.Duration `json:"drain" doc:"How long after an upstream is listed as leaving it may still get work."`
	Grace         time.Duration `json:"grace" doc:"Time between a stop's signal and the kill."`
	Change        time.Duration `json:"change" doc:"Time within which an acknowledged change is in force everywhere."`
	Withdraw      time.Duration `json:"withdraw" doc:"Time within which a bad version of a service gets no more requests."`
	ExposureShare float64       `json:"exposureShare" doc:"Share of a service's requests that an unproven version may get."`
	ExposureSlack float64       `json:"exposureSlack" doc:"Requests beside that, while an upgrade runs."`
	RetryShare    float64       `json:"retryShare" doc:"Extra arrivals at a service for each request to it."`
	RetryWindow   time.Duration `json:"retryWindow" doc:"Time over which they are counted."`
	RetrySlack    float64       `json:"retrySlack" doc:"Extra arrivals allowed in that time beside the share, from all entries together."`
	ColdOvershoot float64       `json:"coldOvershoot" doc:"Times the requests a second that a cold upstream bears, of what it may get in one second; 1 if left out."`
	ColdSlack     float64       `json:"coldSlack" doc:"Requests beside that."`
	SessionIdle   time.Duration `json:"sessionIdle" doc:"Pause after which a session may move to another version."`
}

// Used where the file names none.
const (
	defaultSessionIdle = 5 * time.Second
	defaultRetryWindow = 10 * time.Second
	// defaultQueueRequests is some seconds' work of an entry.
	defaultQueueRequests = 128
	// defaultHeldMemory is in MB, where the VM's memory is not limited.
	defaultHeldMemory  = 16
	heldMemoryFraction = 8 // part of the VM's memory limit, as a divisor
)

// ParseSite reads and checks a site file. Paths in it become relative to folder.
func ParseSite(source []byte, folder string) (*Site, error) {
	s := &Site{}
	d, err := decode(source, s)
	if err != nil {
		return nil, err
	}
	if len(d.problems) == 0 {
		s.check(d)
	}
	if err := d.result(); err != nil {
		return nil, err
	}
	if s.Data != "" && !filepath.IsAbs(s.Data) {
		s.Data = filepath.Join(folder, s.Data)
	}
	if s.Bounds.RetryWindow <= 0 {
		s.Bounds.RetryWindow = defaultRetryWindow
	}
	if s.Bounds.SessionIdle == 0 {
		s.Bounds.SessionIdle = defaultSessionIdle
	}
	s.Overload.applyDefaults(s.Memory)
	return s, nil
}

// applyDefaults fills in what the file leaves out. memory is the VM's limit in MB, 0 for none.
func (o *SiteOverload) applyDefaults(memory int) {
	if o.Mode == "" {
		o.Mode = persimmoncross.OverloadAuto
	}
	if o.Requests == 0 {
		o.Requests = defaultQueueRequests
	}
	if o.Memory == 0 {
		o.Memory = defaultHeldMemory
		if memory > 0 {
			o.Memory = max(memory/heldMemoryFraction, 1)
		}
	}
}

// Policy returns the overload policy. declared says whether a condition declares overload.
func (o *SiteOverload) Policy(declared bool) persimmoncross.OverloadPolicy {
	return persimmoncross.OverloadPolicy{
		Mode:         o.Mode,
		Declared:     declared,
		Omit:         o.Omit,
		MaxQueued:    o.Requests,
		MaxHeldBytes: int64(o.Memory) << 20,
	}
}

func (o *SiteOverload) check(d *decoder) {
	switch o.Mode {
	case "", persimmoncross.OverloadAuto, persimmoncross.OverloadOn, persimmoncross.OverloadOff:
	default:
		d.problem("overload.mode", "want on, off or auto, found %q", o.Mode)
	}
	for _, part := range o.Omit {
		if !slices.Contains(persimmoncross.OverloadParts(), part) {
			d.problem("overload.omit", "no part is named %q; the parts are %q", part, persimmoncross.OverloadParts())
		}
	}
	if o.Requests < 0 {
		d.problem("overload.requests", "want a number of 0 or more, found %d", o.Requests)
	}
	if o.Memory < 0 {
		d.problem("overload.memory", "want a number of 0 or more, found %d", o.Memory)
	}
}

func (s *Site) check(d *decoder) {
	if s.Name == "" {
		d.problem("", `"name" is missing`)
	}
	if !s.Peer.IsValid() {
		d.problem("", `"peer" is missing`)
	}
	if len(s.Seeds) == 0 {
		d.problem("", `"seeds" is missing: without a first address no other VM is found`)
	}
	if !s.List.Address.IsValid() {
		d.problem("", `"list.address" is missing`)
	}
	if s.Caller == nil && s.Operator == nil {
		d.problem("", `neither "caller" nor "operator" is given: the process would serve nobody`)
	}
	if s.Descriptors < 0 {
		d.problem("descriptors", "want a number of 0 or more, found %d", s.Descriptors)
	}
	if s.Operator != nil && s.Data == "" {
		d.problem("", `"data" is missing: a controller keeps its log there`)
	}
	for name, share := range map[string]float64{
		"bounds.exposureShare": s.Bounds.ExposureShare,
		"bounds.retryShare":    s.Bounds.RetryShare,
	} {
		if share < 0 {
			d.problem(name, "want a share of 0 or more, found %g", share)
		}
	}
	if s.Bounds.Drain <= 0 {
		d.problem("", `"bounds.drain" is missing`)
	}
	s.Overload.check(d)
}

// PeerOf returns the peer address of the VM whose address is given.
func (s *Site) PeerOf(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), s.Peer.Port())
}

// Own reports whether the address is one at which this VM or a seed serves: no
// upstream is there, and a request that went to it could come back for ever.
func (s *Site) Own(a netip.AddrPort) bool {
	for _, own := range []*netip.AddrPort{&s.Peer, s.Caller, s.Ready, s.Operator, s.Metrics} {
		if own != nil && *own == a {
			return true
		}
	}
	for _, seed := range s.Seeds {
		if seed == a || s.PeerOf(seed) == a {
			return true
		}
	}
	return false
}

// Founder reports whether this VM is among the seeds.
func (s *Site) Founder() bool {
	for _, a := range s.Seeds {
		if a.Addr() == s.Peer.Addr() {
			return true
		}
	}
	return false
}
