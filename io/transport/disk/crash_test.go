package disk

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"persimmoncross"
)

var errCrashed = errors.New("the power is gone")

// volatileFiles is a file system in memory. At a crash each name and each write
// that was not synced is kept or lost by itself, or torn.
type volatileFiles struct {
	random *rand.Rand
	steps  int // until the crash; negative: none

	noFileSync   bool // syncs of files do nothing
	noFolderSync bool // syncs of folders do nothing
	noSyncAtLoad bool // syncs of files that are only read do nothing

	names   map[string]*inode
	durable map[string]*inode
}

type inode struct {
	data    []byte
	durable []byte
}

func newVolatileFiles(random *rand.Rand) *volatileFiles {
	return &volatileFiles{
		random:  random,
		steps:   -1,
		names:   map[string]*inode{},
		durable: map[string]*inode{},
	}
}

// step counts an operation that changes something; at the crash it fails, and
// all that come after it.
func (v *volatileFiles) step() error {
	if v.steps == 0 {
		return errCrashed
	}
	if v.steps > 0 {
		v.steps--
	}
	return nil
}

// kill ends the process: its files remain as they were, and what was not synced
// can still be lost later.
func (v *volatileFiles) kill() { v.steps = -1 }

// crash leaves what a loss of power leaves.
func (v *volatileFiles) crash() {
	v.steps = -1
	all := maps.Clone(v.durable)
	maps.Copy(all, v.names)
	left := map[string]*inode{}
	for _, path := range slices.Sorted(maps.Keys(all)) {
		now, before := v.names[path], v.durable[path]
		if now != before && v.random.IntN(2) == 0 {
			now = before // this change of a name is lost
		}
		if now != nil {
			left[path] = now
		}
	}
	torn := map[*inode]bool{}
	for _, path := range slices.Sorted(maps.Keys(left)) {
		if n := left[path]; !torn[n] {
			torn[n] = true
			n.tear(v.random)
		}
	}
	v.names = left
	v.durable = maps.Clone(left)
}

// tear keeps what was synced and a part of what was written after it.
func (n *inode) tear(random *rand.Rand) {
	switch random.IntN(3) {
	case 0:
		n.data = slices.Clone(n.durable)
	case 1: // all is there
	case 2:
		if len(n.data) > len(n.durable) && string(n.data[:len(n.durable)]) == string(n.durable) {
			n.data = n.data[:len(n.durable)+random.IntN(len(n.data)-len(n.durable))]
			break
		}
		n.data = slices.Clone(n.durable)
	}
	n.durable = slices.Clone(n.data)
}

func (v *volatileFiles) Open(path string, flag int) (file, error) {
	if err := v.step(); err != nil {
		return nil, err
	}
	n := v.names[path]
	if n == nil || flag&os.O_TRUNC != 0 {
		n = &inode{}
		v.names[path] = n
	}
	return &volatileFile{
		files: v,
		node:  n,
		path:  path,
	}, nil
}

func (v *volatileFiles) ReadFile(path string) ([]byte, error) {
	n := v.names[path]
	if n == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

func (v *volatileFiles) Rename(from, to string) error {
	if err := v.step(); err != nil {
		return err
	}
	v.names[to] = v.names[from]
	delete(v.names, from)
	return nil
}

func (v *volatileFiles) Remove(path string) error {
	if err := v.step(); err != nil {
		return err
	}
	delete(v.names, path)
	return nil
}

func (v *volatileFiles) Truncate(path string, size int64) error {
	if err := v.step(); err != nil {
		return err
	}
	n := v.names[path]
	n.data = n.data[:size:size]
	return nil
}

func (v *volatileFiles) List(pattern string) ([]string, error) {
	var paths []string
	for _, path := range slices.Sorted(maps.Keys(v.names)) {
		if ok, err := filepath.Match(pattern, path); err != nil {
			return nil, err
		} else if ok {
			paths = append(paths, path)
		}
	}
	return paths, nil
}

func (v *volatileFiles) MakeFolder(string) error { return v.step() }

func (v *volatileFiles) SyncFile(path string) error {
	if err := v.step(); err != nil {
		return err
	}
	n := v.names[path]
	if n == nil {
		return os.ErrNotExist
	}
	if !v.noFileSync && !v.noSyncAtLoad {
		n.durable = slices.Clone(n.data)
		v.durable[path] = n // a new file becomes durable with its own sync
	}
	return nil
}

func (v *volatileFiles) SyncFolder(path string) error {
	if err := v.step(); err != nil {
		return err
	}
	if v.noFolderSync {
		return nil
	}
	all := maps.Clone(v.durable)
	maps.Copy(all, v.names)
	for name := range all {
		if filepath.Dir(name) != path {
			continue
		}
		if n := v.names[name]; n != nil {
			v.durable[name] = n
		} else {
			delete(v.durable, name)
		}
	}
	return nil
}

// volatileFile is an open file of volatileFiles.
type volatileFile struct {
	files *volatileFiles
	node  *inode
	path  string
	at    int
}

func (f *volatileFile) Name() string { return f.path }

func (f *volatileFile) Close() error { return nil }

func (f *volatileFile) Write(p []byte) (int, error) {
	n, err := f.WriteAt(p, int64(f.at))
	f.at += n
	return n, err
}

func (f *volatileFile) WriteAt(p []byte, at int64) (int, error) {
	if err := f.files.step(); err != nil {
		return 0, err
	}
	end := int(at) + len(p)
	if end > len(f.node.data) {
		f.node.data = append(f.node.data[:len(f.node.data):len(f.node.data)], make([]byte, end-len(f.node.data))...)
	} else {
		f.node.data = slices.Clone(f.node.data)
	}
	copy(f.node.data[at:], p)
	return len(p), nil
}

func (f *volatileFile) Sync() error {
	if err := f.files.step(); err != nil {
		return err
	}
	if !f.files.noFileSync {
		f.node.durable = slices.Clone(f.node.data)
	}
	return nil
}

func (f *volatileFile) Truncate(size int64) error {
	if err := f.files.step(); err != nil {
		return err
	}
	f.node.data = f.node.data[:size:size]
	return nil
}

// kept is what the log has acknowledged.
type kept struct {
	hard    persimmoncross.HardState
	entries map[uint64]uint64 // term by index
	last    uint64
	covered uint64 // by a snapshot
}

// end ends the process, without kills always by a loss of power.
func (v *volatileFiles) end(kills bool) {
	if kills && v.random.IntN(2) == 0 {
		v.kill()
		return
	}
	v.crash()
}

// crashes runs a log over losses of power, and over kills if kills is set, at
// random steps, some of them while the log loads. It returns what was
// acknowledged and lost, "" if nothing was.
func crashes(random *rand.Rand, v *volatileFiles, kills bool) string {
	k := kept{
		entries: map[uint64]uint64{},
	}
	v.durable["data"] = &inode{} // the data folder itself
	for range 6 {
		if random.IntN(3) == 0 {
			v.steps = random.IntN(8)
			_, wrong := reopen(v, &k)
			v.end(kills)
			if wrong != "" && wrong != errCrashed.Error() {
				return wrong
			}
		}
		l, wrong := reopen(v, &k)
		if wrong != "" {
			return wrong
		}
		v.steps = random.IntN(25)
		for use(random, l, &k) == nil {
		}
		v.end(kills)
	}
	v.crash()
	_, wrong := reopen(v, &k)
	return wrong
}

// reopen loads the log and checks that it holds what was acknowledged.
func reopen(v *volatileFiles, k *kept) (*Log, string) {
	l, err := OpenLog(&Folder{
		Path:  "data",
		files: v,
	}, "g")
	if err != nil {
		return nil, reason(err)
	}
	hard, snapshot, list, err := l.Load()
	if err != nil {
		return nil, reason(err)
	}
	if hard.Term < k.hard.Term || hard.Term == k.hard.Term && k.hard.Vote != 0 && hard.Vote != k.hard.Vote {
		return nil, "the term or the vote went back"
	}
	if snapshot.Index < k.covered {
		return nil, "a snapshot is lost"
	}
	held := map[uint64]uint64{}
	for _, e := range list {
		held[e.Index] = e.Term
	}
	for index := snapshot.Index + 1; index <= k.last; index++ {
		if held[index] < k.entries[index] {
			return nil, "an entry is lost"
		}
	}
	// What was not acknowledged may be there: it counts from now on.
	k.hard = hard
	k.covered = snapshot.Index
	k.last = max(snapshot.Index, k.last)
	for _, e := range list {
		k.entries[e.Index] = e.Term
		k.last = max(k.last, e.Index)
	}
	return l, ""
}

// reason returns the text of an error, that of errCrashed alone if it is the cause.
func reason(err error) string {
	if errors.Is(err, errCrashed) {
		return errCrashed.Error()
	}
	return err.Error()
}

// use does one thing with the log, and notes it once it is acknowledged.
func use(random *rand.Rand, l *Log, k *kept) error {
	if k.last > k.covered && random.IntN(4) == 0 {
		index := k.covered + 1 + random.Uint64N(k.last-k.covered)
		err := l.Compact(persimmoncross.Snapshot{
			Index: index,
			Term:  k.entries[index],
		}, index)
		if err == nil {
			k.covered = index
		}
		return err
	}
	hard := k.hard
	if random.IntN(2) == 0 {
		hard.Term++
		hard.Vote = persimmoncross.MemberID(1 + random.IntN(3))
	}
	list := entries(k.last+1, k.last+1+random.Uint64N(3), max(hard.Term, 1))
	err := l.Append(&hard, list)
	if err != nil {
		return err
	}
	k.hard = hard
	for _, e := range list {
		k.entries[e.Index] = e.Term
		k.last = e.Index
	}
	return nil
}

// Whatever step the power is lost at, and whatever is then kept of what was not
// synced, the log loads and holds all that it acknowledged.
func TestPowerLosses(t *testing.T) {
	for seed := range uint64(4000) {
		random := rand.New(rand.NewPCG(seed, 1))
		if wrong := crashes(random, newVolatileFiles(random), false); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// What a killed process had written and not synced must not be acknowledged by the next one and then lost with the power.
func TestKillsThenPowerLosses(t *testing.T) {
	for seed := range uint64(4000) {
		random := rand.New(rand.NewPCG(seed, 2))
		if wrong := crashes(random, newVolatileFiles(random), true); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// The runs above must find a log that does not sync: else they prove nothing.
func TestPowerLossesFindMissingSyncs(t *testing.T) {
	for _, tt := range []struct {
		name  string
		spoil func(v *volatileFiles)
	}{
		{
			name:  "files are not synced",
			spoil: func(v *volatileFiles) { v.noFileSync = true },
		},
		{
			name:  "folders are not synced",
			spoil: func(v *volatileFiles) { v.noFolderSync = true },
		},
		{
			name:  "files are not synced when they are read",
			spoil: func(v *volatileFiles) { v.noSyncAtLoad = true },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 1))
				v := newVolatileFiles(random)
				tt.spoil(v)
				if crashes(random, v, true) != "" {
					return
				}
			}
			t.Error("200 runs found nothing")
		})
	}
}
