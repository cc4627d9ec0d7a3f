package vm

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"math/rand/v2"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
	"persimmoncross/core/coordination/group"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/disk"
)

// Times of the replicated logs. A leader is replaced after one to two election
// times of silence, well within the lease, so that entries work on meanwhile.
const (
	heartbeat = 100 * time.Millisecond
	election  = 500 * time.Millisecond
	leaseTime = 3 * time.Second
)

const (
	identityName  = "identity"
	identifyEvery = 200 * time.Millisecond
	identifyWait  = time.Second
	waitLogEvery  = 5 * time.Second
	originIndex   = 1 // the log begins behind a snapshot that holds only the voters
)

// identity is the file that makes a data folder somebody's. A folder that was
// lost gets a new one, and so never votes as its former self.
type identity struct {
	Member persimmoncross.MemberID `json:"member"`
	Origin *persimmoncross.Config  `json:"origin,omitempty"` // the first voters, once agreed
	Made   bool                    `json:"made"`             // the logs' files exist
}

// openDisk takes the data folder, if the VM has one, and its identity.
func (v *VM) openDisk() error {
	if v.Local.Data == "" {
		v.member = newMember()
		return nil
	}
	folder, err := disk.OpenFolder(v.Local.Data)
	if err != nil {
		return failure("start", Start, err, "")
	}
	v.folder = folder
	id, err := v.loadIdentity()
	if err != nil {
		folder.Close()
		return failure("start", Start, err, "")
	}
	v.member = id.Member
	v.origin.Store(id.Origin)
	return nil
}

func newMember() persimmoncross.MemberID {
	return persimmoncross.MemberID(rand.Uint64() | 1) // never 0
}

func (v *VM) loadIdentity() (identity, error) {
	data, err := v.folder.ReadFile(identityName)
	if err != nil {
		return identity{}, err
	}
	id := identity{}
	if data == nil {
		id.Member = newMember()
		return id, v.saveIdentity(id)
	}
	if err := json.Unmarshal(data, &id); err != nil || id.Member == 0 {
		return id, &disk.Error{
			Operation: "load",
			Kind:      disk.Damaged,
			Path:      filepath.Join(v.folder.Path, identityName),
			Err:       err,
			Advice:    "move the data folder away, start empty, and run `persimmoncross repair`",
		}
	}
	if !id.Made {
		return id, nil
	}
	for _, name := range []string{settingsGroup, ledgerGroup} {
		path := filepath.Join(v.folder.Path, name)
		if found, _ := filepath.Glob(filepath.Join(path, "log-*")); len(found) == 0 {
			return id, &disk.Error{
				Operation: "load",
				Kind:      disk.Damaged,
				Path:      path,
				Err:       os.ErrNotExist,
				Advice:    "a part of the data folder is lost: move the rest away, start empty, and run `persimmoncross repair`",
			}
		}
	}
	return id, nil
}

func (v *VM) saveIdentity(id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return v.folder.WriteFile(identityName, data)
}

func (v *VM) newGroup(name string, machine persimmoncross.StateMachine) *group.Replica {
	return &group.Replica{
		Core: &consensus.Core{
			Group:             name,
			ID:                v.member,
			VM:                v.Local.Name,
			HeartbeatInterval: heartbeat,
			ElectionTimeout:   election,
			LeaseDuration:     leaseTime,
			Random:            newRandom(),
			// Settings must be in force soon; bills need not be known at once.
			BroadcastCommits: name == settingsGroup,
		},
		StateMachine: machine,
		Sender:       v.node,
		Clock:        v.Clock,
		Metrics:      v.metrics,
		Logger:       v.Log,
	}
}

// bootstrap agrees with the other first voters on who they are, and opens the
// logs. It returns false if the context ended or the disk failed.
//
// Only the first of them by name forms the set of voters, from the identities
// that all the others tell, and only while none of them knows a set; so two
// sets can't be formed. A VM that finds a set without its identity in it has
// lost its disk since: it follows the logs and waits to be made a voter.
func (v *VM) bootstrap(ctx context.Context) bool {
	if v.folder != nil && v.origin.Load() == nil && v.Local.Peers[v.Local.Name].Voter {
		if !v.agree(ctx) {
			return false
		}
	}
	if err := v.openGroups(); err != nil {
		v.Log.Error().Err(err).Msg("cannot open the logs")
		return false
	}
	return true
}

func (v *VM) agree(ctx context.Context) bool {
	var told time.Time
	for {
		set, lost, missing := v.identifyAll(ctx)
		if set != nil {
			v.origin.Store(set)
			return true
		}
		if lost {
			v.Log.Warn().Str("vm", v.Local.Name).Msg("the fleet has voters already and this data folder is new: following until `persimmoncross repair` gives it the vote")
			return true
		}
		if now := v.Clock.Now(); now.Sub(told) >= waitLogEvery {
			told = now
			v.Log.Info().Str("vm", v.Local.Name).Strs("missing", missing).Msg("waiting for the other first voters")
		}
		select {
		case <-ctx.Done():
			return false
		case <-v.Clock.After(identifyEvery):
		}
	}
}

// identifyAll asks the other first voters. It returns the set of voters if it
// is known and this VM in it, or can be formed; else whether this VM is not in
// it, or who did not answer.
func (v *VM) identifyAll(ctx context.Context) (set *persimmoncross.Config, lost bool, missing []string) {
	first := v.firstVoters()
	formed := persimmoncross.Config{}
	for _, name := range first {
		if name == v.Local.Name {
			formed.Voters = append(formed.Voters, persimmoncross.Member{
				ID: v.member,
				VM: name,
			})
			continue
		}
		id, err := v.identify(ctx, name)
		if err != nil {
			missing = append(missing, name)
			continue
		}
		if id.GetOrigin() != nil {
			known := id.GetOrigin().Root()
			if known.HasVoter(v.member) {
				return &known, false, nil
			}
			return nil, true, nil
		}
		formed.Voters = append(formed.Voters, persimmoncross.Member{
			ID: persimmoncross.MemberID(id.GetMember()),
			VM: name,
		})
	}
	if len(missing) == 0 && first[0] == v.Local.Name {
		return &formed, false, nil
	}
	return nil, false, missing
}

func (v *VM) firstVoters() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(v.Local.Peers)) {
		if v.Local.Peers[name].Voter {
			names = append(names, name)
		}
	}
	return names
}

func (v *VM) identify(ctx context.Context, name string) (*wire.Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyWait)
	defer cancel()
	s, err := v.node.Call(ctx, name, &wire.Call{
		Body: &wire.Call_Identify{
			Identify: &wire.Identify{
				Vm: v.Local.Name,
			},
		},
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	id := &wire.Identity{}
	if err := s.Receive(id); err != nil {
		return nil, err
	}
	return id, nil
}

// openGroups opens the logs; new ones begin with the first voters, if this VM
// is one of them.
func (v *VM) openGroups() error {
	if v.folder == nil {
		v.settings.Storage = disk.Memory{}
		return v.settings.Open()
	}
	origin := v.origin.Load()
	made := false
	if id, err := v.loadIdentity(); err != nil {
		return err
	} else {
		made = id.Made
	}
	if !made {
		// The set is on disk before anything follows from it.
		if err := v.saveIdentity(identity{
			Member: v.member,
			Origin: origin,
		}); err != nil {
			return err
		}
	}
	for _, g := range []*group.Replica{v.settings, v.bills} {
		log, err := disk.OpenLog(v.folder, g.Core.Group)
		if err != nil {
			return err
		}
		g.Storage = log
		if !made {
			if err := beginLog(log, origin); err != nil {
				return err
			}
		}
	}
	if !made {
		if err := v.saveIdentity(identity{
			Member: v.member,
			Origin: origin,
			Made:   true,
		}); err != nil {
			return err
		}
	}
	if err := v.settings.Open(); err != nil {
		return err
	}
	return v.bills.Open()
}

// beginLog writes a new log's first files.
func beginLog(log *disk.Log, origin *persimmoncross.Config) error {
	if err := log.Append(&persimmoncross.HardState{}, nil); err != nil {
		return err
	}
	if origin == nil {
		return nil
	}
	return log.Compact(persimmoncross.Snapshot{
		Index:  originIndex,
		Term:   originIndex,
		Config: *origin,
	}, originIndex)
}

// vmOf returns the VM's name in an owner's.
func vmOf(owner string) string {
	name, _, _ := strings.Cut(owner, "#")
	return name
}

// catchUp waits until this VM's ledger holds what the leader had committed
// when it was asked: followers learn of commits a little later.
func (v *VM) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	commit := uint64(0)
	for _, s := range v.presence.ask(ctx) {
		for _, g := range s.GetGroups() {
			if g.GetGroup() == ledgerGroup {
				commit = max(commit, g.GetCommit())
			}
		}
	}
	for v.bills.View().AppliedIndex < commit {
		select {
		case <-ctx.Done():
			return failure("catch up", Absent, ctx.Err(), "the ledger's leader does not answer")
		case <-v.Clock.After(readyPoll):
		}
	}
	return nil
}
