package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"persimmoncross"
)

func entries(from, to, term uint64) []persimmoncross.Entry {
	var list []persimmoncross.Entry
	for i := from; i <= to; i++ {
		list = append(list, persimmoncross.Entry{
			Index: i,
			Term:  term,
			Kind:  persimmoncross.EntryCommand,
			Data:  fmt.Appendf(nil, "entry %d of term %d", i, term),
		})
	}
	return list
}

func open(t *testing.T, folder string) *Log {
	t.Helper()
	d := &Folder{
		Path: folder,
	}
	l, err := OpenLog(d, "g")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func reload(t *testing.T, folder string) (persimmoncross.HardState, persimmoncross.Snapshot, []persimmoncross.Entry) {
	t.Helper()
	hard, snapshot, list, err := open(t, folder).Load()
	if err != nil {
		t.Fatal(err)
	}
	return hard, snapshot, list
}

func mustAppend(t *testing.T, l *Log, hard *persimmoncross.HardState, list []persimmoncross.Entry) {
	t.Helper()
	if err := l.Append(hard, list); err != nil {
		t.Fatal(err)
	}
}

func lastSegment(t *testing.T, folder string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "g", "log-*"))
	if err != nil || len(names) == 0 {
		t.Fatal("no segment", err)
	}
	slices.Sort(names)
	return names[len(names)-1]
}

func TestReloadKeepsWhatWasAppended(t *testing.T) {
	folder := t.TempDir()
	l := open(t, folder)
	mustAppend(t, l, &persimmoncross.HardState{
		Term: 2,
		Vote: 7,
	}, entries(1, 10, 2))
	mustAppend(t, l, nil, entries(6, 8, 3)) // replaces 6 to 10
	hard, _, list := reload(t, folder)
	if hard.Term != 2 || hard.Vote != 7 {
		t.Errorf("hard state %+v", hard)
	}
	if len(list) != 8 || list[4].Term != 2 || list[5].Term != 3 {
		t.Errorf("entries %+v", list)
	}
}

// A crash may leave any beginning of the last write; what was synced before it
// must be there, and the log must go on.
func TestTornTailAtEveryByte(t *testing.T) {
	folder := t.TempDir()
	l := open(t, folder)
	mustAppend(t, l, &persimmoncross.HardState{
		Term: 1,
	}, entries(1, 3, 1))
	before := l.size
	mustAppend(t, l, nil, entries(4, 4, 1))
	name := lastSegment(t, folder)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for size := before; size < int64(len(whole)); size++ {
		if err := os.WriteFile(name, whole[:size], fileMode); err != nil {
			t.Fatal(err)
		}
		next := open(t, folder)
		_, _, list, err := next.Load()
		if err != nil || len(list) != 3 {
			t.Fatalf("cut at byte %d: %d entries, %v", size, len(list), err)
		}
		mustAppend(t, next, nil, entries(4, 5, 2))
		if _, _, list := reload(t, folder); len(list) != 5 {
			t.Fatalf("cut at byte %d: %d entries after going on", size, len(list))
		}
		os.Remove(lastSegment(t, folder))
	}
}

// A changed byte in what was synced is no torn tail: the member must not start.
func TestCorruptionStopsTheStart(t *testing.T) {
	folder := t.TempDir()
	l := open(t, folder)
	mustAppend(t, l, &persimmoncross.HardState{
		Term: 1,
	}, entries(1, 20, 1))
	mustAppend(t, l, nil, entries(21, 22, 1))
	name := lastSegment(t, folder)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for _, at := range []int{2, 6, 30, len(whole) / 2, len(whole) - 1} {
		changed := slices.Clone(whole)
		changed[at] ^= 0x40
		if err := os.WriteFile(name, changed, fileMode); err != nil {
			t.Fatal(err)
		}
		_, _, list, err := open(t, folder).Load()
		var e *Error
		if !errors.As(err, &e) || e.Kind != Damaged || !strings.Contains(e.Error(), "persimmoncross repair") {
			t.Errorf("byte %d changed: %d entries, %v", at, len(list), err)
		}
	}
}

func TestCompactionDropsSegments(t *testing.T) {
	folder := t.TempDir()
	l := open(t, folder)
	big := entries(1, 1, 1)
	big[0].Data = make([]byte, segmentSize)
	for i := uint64(1); i <= 4; i++ {
		big[0].Index = i
		mustAppend(t, l, &persimmoncross.HardState{
			Term: i,
		}, big)
	}
	set := persimmoncross.Config{
		Voters: []persimmoncross.Member{
			{
				ID: 9,
				VM: "vm-a",
			},
		},
	}
	if err := l.Compact(persimmoncross.Snapshot{
		Index:  3,
		Term:   1,
		Config: set,
		Data:   []byte("state"),
	}, 3); err != nil {
		t.Fatal(err)
	}
	names, _ := filepath.Glob(filepath.Join(folder, "g", "log-*"))
	if len(names) > 2 {
		t.Errorf("%d segments are left", len(names))
	}
	hard, s, list := reload(t, folder)
	if hard.Term != 4 || string(s.Data) != "state" || !s.Config.HasVoter(9) || len(list) != 1 || list[0].Index != 4 {
		t.Errorf("hard %+v, snapshot %d, %d entries", hard, s.Index, len(list))
	}
}

// An installed snapshot contradicts the uncommitted tail: the tail must not
// come back, or the log would look older than what was acknowledged.
func TestInstalledSnapshotDropsContradictedTail(t *testing.T) {
	folder := t.TempDir()
	l := open(t, folder)
	mustAppend(t, l, &persimmoncross.HardState{
		Term: 3,
	}, entries(1, 20, 3))
	if err := l.Compact(persimmoncross.Snapshot{
		Index: 10,
		Term:  5,
	}, 10); err != nil {
		t.Fatal(err)
	}
	if _, s, list := reload(t, folder); s.Index != 10 || len(list) != 0 {
		t.Errorf("snapshot %d, %d entries", s.Index, len(list))
	}
}

// A write that fails, as on a full disk, must not be acknowledged; once the disk
// takes writes again the log goes on.
func TestFailedWriteIsNotAcknowledgedAndHeals(t *testing.T) {
	folder := t.TempDir()
	l := open(t, folder)
	mustAppend(t, l, &persimmoncross.HardState{
		Term: 1,
	}, entries(1, 3, 1))
	real := l.file
	readOnly, err := os.Open(real.Name())
	if err != nil {
		t.Fatal(err)
	}
	l.file = readOnly
	if err := l.Append(nil, entries(4, 4, 1)); err == nil {
		t.Fatal("a failed write was acknowledged")
	}
	if err := l.Append(nil, entries(4, 4, 1)); err == nil {
		t.Fatal("the broken segment was written to again")
	}
	l.file = real
	mustAppend(t, l, nil, entries(4, 4, 1))
	if _, _, list := reload(t, folder); len(list) != 4 {
		t.Errorf("%d entries", len(list))
	}
}

func TestFolderHasOneOwner(t *testing.T) {
	path := t.TempDir()
	d, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	var e *Error
	if _, err := OpenFolder(path); !errors.As(err, &e) || e.Kind != InUse {
		t.Errorf("a second owner: %v", err)
	}
	d.Close()
	again, err := OpenFolder(path)
	if err != nil {
		t.Errorf("after the owner has gone: %v", err)
	} else {
		again.Close()
	}
}
