package settings

import (
	"net/netip"
	"path/filepath"
	"time"
)

// Local is the small file that one process reads: what differs between VMs.
type Local struct {
	Name        string              `json:"name" doc:"This VM's name, as the peers list has it."`
	DataCentre  string              `json:"datacentre" doc:"The data centre that this VM stands in."`
	Data        string              `json:"data" doc:"The data folder of a voter, relative to this file; a learner needs none."`
	Caller      netip.AddrPort      `json:"caller" doc:"Where callers are served."`
	Operator    netip.AddrPort      `json:"operator" doc:"Where operators are served. An operator has 5 s to read each 32 KB of an answer."`
	Peer        netip.AddrPort      `json:"peer" doc:"Where the other VMs connect to."`
	Peers       map[string]*LocalVM `json:"peers" doc:"All VMs of the fleet, this one too, by name."`
	Operators   string              `json:"operators" doc:"File with a line for each operator: name and hash of the key. Read again when it changes."`
	Grace       *time.Duration      `json:"grace" doc:"How long a stopping VM still takes new requests, for the balancer to notice; 2s if left out."`
	Memory      int                 `json:"memory" doc:"Memory limit of the process in MB; 0: none. Bodies of callers, files of operators and messages of peers may each take an eighth of it while they are held or arrive, 16 MB at least; 64 MB without a limit. Of callers' bodies, those over 256 KB may take three quarters of that. A body or file may take 30 s to arrive."`
	Descriptors int                 `json:"descriptors" doc:"Descriptors that the process may have open, at most what the operating system allows; 0: that number. An eighth, 200 at most, is kept for files; of the rest callers' connections get 3/8, peers' 1/4 and operators' 1/8. Beyond that the connection that has waited longest for its first request is closed, else the one that is idle for longest, else the new one. The kernel is asked to hold 32 KB of a connection unread."`
	TLS         *LocalTLS           `json:"tls" doc:"Mutual TLS between the VMs; left out: plain TCP."`
	Log         string              `json:"log" doc:"Least level of log lines: debug, info, warn or error; info if left out."`
}

// LocalVM is one VM of the fleet as the local file lists it.
type LocalVM struct {
	Address netip.AddrPort `json:"address" doc:"Its peer address."`
	Voter   bool           `json:"voter" doc:"Whether it was among the first voters. Later changes of voters are the log's own."`
}

// LocalTLS names the key files, relative to the local file. They are read
// again when they change.
type LocalTLS struct {
	Certificate string `json:"certificate" doc:"This VM's certificate, PEM; its name is the VM's."`
	Key         string `json:"key" doc:"Its private key, PEM."`
	Authority   string `json:"authority" doc:"Certificates of the authority that signs all VMs', PEM."`
}

const defaultGrace = 2 * time.Second

// ParseLocal reads and checks a local file. Paths in it become relative to
// folder.
func ParseLocal(source []byte, folder string) (*Local, error) {
	l := &Local{}
	d, err := decode(source, l)
	if err != nil {
		return nil, err
	}
	if len(d.problems) == 0 {
		l.check(d)
	}
	if err := d.result(); err != nil {
		return nil, err
	}
	for _, p := range l.paths() {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
	if l.Grace == nil {
		l.Grace = new(defaultGrace)
	}
	return l, nil
}

func (l *Local) paths() []*string {
	list := []*string{&l.Data, &l.Operators}
	if l.TLS != nil {
		list = append(list, &l.TLS.Certificate, &l.TLS.Key, &l.TLS.Authority)
	}
	return list
}

func (l *Local) check(d *decoder) {
	for name, a := range map[string]netip.AddrPort{
		"caller":   l.Caller,
		"operator": l.Operator,
		"peer":     l.Peer,
	} {
		if !a.IsValid() {
			d.problem("", "%q is missing", name)
		}
	}
	if !namePattern.MatchString(l.Name) {
		d.problem("name", "want the VM's name, found %q", l.Name)
		return
	}
	self, ok := l.Peers[l.Name]
	if !ok {
		d.problem("peers", "this VM, %q, is not among them", l.Name)
		return
	}
	if self.Address != l.Peer {
		d.problem("peers."+l.Name+".address", "want this VM's own peer address %s, found %s", l.Peer, self.Address)
	}
	voters := 0
	seen := map[netip.AddrPort]string{}
	for name, p := range l.Peers {
		if p.Voter {
			voters++
		}
		if !p.Address.IsValid() {
			d.problem("peers."+name, `"address" is missing`)
		}
		if other, taken := seen[p.Address]; taken {
			d.problem("peers."+name, "%q has the same address", other)
		}
		seen[p.Address] = name
	}
	if voters != 1 && voters != 3 && voters != 5 {
		d.problem("peers", "want 1, 3 or 5 first voters, found %d", voters)
	}
	if self.Voter && l.Data == "" {
		d.problem("", `"data" is missing: a voter keeps its log there`)
	}
	if l.Memory < 0 {
		d.problem("memory", "want a number of 0 or more, found %d", l.Memory)
	}
	if l.Descriptors < 0 {
		d.problem("descriptors", "want a number of 0 or more, found %d", l.Descriptors)
	}
	switch l.Log {
	case "", "debug", "info", "warn", "error":
	default:
		d.problem("log", "want debug, info, warn or error, found %q", l.Log)
	}
}
