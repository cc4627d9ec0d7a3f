package node

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/transport/disk"
)

const (
	identityFile = "member"
	groupName    = "fleet"
	// initialIndex is the index and the term of the snapshot with which the log of an initial
	// voter starts. This snapshot holds only the voters.
	initialIndex = 1
)

// identity is the content of the file that assigns a data folder to a member.
type identity struct {
	Member persimmoncross.MemberID `json:"member"`
}

// memberStore is an opened data folder.
type memberStore struct {
	folder *disk.Folder
	log    *disk.Log
	member persimmoncross.MemberID
}

// openStore opens the data folder. An empty folder is initialized for an initial voter if the
// fleet starts for the first time and this VM is a seed, and otherwise for a new member, which
// is a learner until it is made a voter. A VM whose disk was lost therefore never votes as its
// former member. A damaged folder is emptied first and initialized for a new member:
// the log entries and votes that the old member had acknowledged remain with the other voters.
func openStore(s *settings.Site, log zerolog.Logger) (*memberStore, error) {
	store, err := openStoreOnce(s)
	var damaged *disk.Error
	if err == nil || !errors.As(err, &damaged) || damaged.Kind != disk.Damaged {
		return store, err
	}
	log.Error().Err(err).Msg("the data folder is damaged; emptying it and joining as a new member")
	if err := emptyFolder(s.Data); err != nil {
		return nil, newError("empty data folder", StartFailed, err)
	}
	newMember := *s
	newMember.Founding = false
	return openStoreOnce(&newMember)
}

func emptyFolder(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(path, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

func openStoreOnce(s *settings.Site) (*memberStore, error) {
	folder, err := disk.OpenFolder(s.Data)
	if err != nil {
		return nil, err
	}
	store := &memberStore{
		folder: folder,
	}
	if err := store.load(s); err != nil {
		folder.Close()
		return nil, err
	}
	return store, nil
}

func (st *memberStore) load(s *settings.Site) error {
	data, err := st.folder.ReadFile(identityFile)
	if err != nil {
		return err
	}
	if data == nil {
		return st.initialize(s)
	}
	id := identity{}
	if err := json.Unmarshal(data, &id); err != nil || id.Member == 0 {
		return &disk.Error{
			Operation: "load",
			Kind:      disk.Damaged,
			Path:      filepath.Join(s.Data, identityFile),
			Err:       err,
		}
	}
	st.member = id.Member
	if st.log, err = disk.OpenLog(st.folder, groupName); err != nil {
		return err
	}
	segments, err := filepath.Glob(filepath.Join(st.log.Path, "log-*"))
	if err == nil && len(segments) == 0 {
		err = os.ErrNotExist
	}
	if err != nil {
		return &disk.Error{
			Operation: "load",
			Kind:      disk.Damaged,
			Path:      st.log.Path,
			Err:       err,
		}
	}
	return st.verifyLog()
}

// verifyLog reads the log, so that one with damage or a gap is found while the folder can still
// be initialized for a new member.
func (st *memberStore) verifyLog() error {
	if _, _, _, err := st.log.Load(); err != nil {
		return err
	}
	var err error
	st.log, err = disk.OpenLog(st.folder, groupName)
	return err
}

// initialize creates a new member. The identity file is written last: a folder without it has
// not acknowledged anything and is initialized again.
func (st *memberStore) initialize(s *settings.Site) error {
	var err error
	if err = emptyFolder(filepath.Join(s.Data, groupName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if st.log, err = disk.OpenLog(st.folder, groupName); err != nil {
		return err
	}
	if err := st.log.Append(&persimmoncross.HardState{}, nil); err != nil {
		return err
	}
	st.member = persimmoncross.MemberID(rand.Uint64() | 1) // never 0
	if s.Founding && s.Founder() {
		voters := initialVoters(s)
		st.member = initialVoterID(s.Peer.String())
		if err := st.log.Compact(persimmoncross.Snapshot{
			Index:  initialIndex,
			Term:   initialIndex,
			Config: voters,
		}, initialIndex); err != nil {
			return err
		}
	}
	if err := st.log.Close(); err != nil {
		return err
	}
	if st.log, err = disk.OpenLog(st.folder, groupName); err != nil {
		return err
	}
	data, err := json.Marshal(identity{
		Member: st.member,
	})
	if err != nil {
		return err
	}
	return st.folder.WriteFile(identityFile, data)
}

// initialVoters returns the initial voter configuration; every seed computes the same one.
func initialVoters(s *settings.Site) persimmoncross.Config {
	voters := persimmoncross.Config{}
	for _, a := range s.Seeds {
		name := s.PeerOf(a).String()
		voters.Voters = append(voters.Voters, persimmoncross.Member{
			ID: initialVoterID(name),
			VM: name,
		})
	}
	return voters
}

func initialVoterID(name string) persimmoncross.MemberID {
	return persimmoncross.MemberID(xxhash.Sum64String("founder\x00"+name) | 1)
}
