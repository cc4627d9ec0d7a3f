package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/record"
)

const (
	segmentSize  = 16 << 20 // bytes after which a new segment is begun
	segmentName  = "log-%016x"
	snapshotName = "snapshot"
)

// Log implements [persimmoncross.Storage] in one folder of the data folder.
// One goroutine owns it.
type Log struct {
	Path string

	files    files
	hard     persimmoncross.HardState
	segments []segment
	file     file   // the last segment
	size     int64  // its synced bytes
	broken   bool   // a write failed: what follows size is unknown
	next     uint64 // number of the next segment
}

// segment is a file of frames; last is the highest index it holds.
type segment struct {
	path string
	last uint64
}

// OpenLog makes the group's folder.
func OpenLog(d *Folder, group string) (*Log, error) {
	path := filepath.Join(d.Path, group)
	system := d.system()
	if err := system.MakeFolder(path); err != nil {
		return nil, failure("make folder", path, err)
	}
	if err := system.SyncFolder(d.Path); err != nil {
		return nil, err
	}
	return &Log{
		Path:  path,
		files: system,
	}, nil
}

// Load implements [persimmoncross.Storage].
func (l *Log) Load() (persimmoncross.HardState, persimmoncross.Snapshot, []persimmoncross.Entry, error) {
	snapshot, err := l.loadSnapshot()
	if err != nil {
		return persimmoncross.HardState{}, persimmoncross.Snapshot{}, nil, err
	}
	names, err := l.files.List(filepath.Join(l.Path, "log-*"))
	if err != nil {
		return persimmoncross.HardState{}, persimmoncross.Snapshot{}, nil, failure("list", l.Path, err)
	}
	slices.Sort(names)
	var entries []persimmoncross.Entry
	for i, name := range names {
		entries, err = l.loadSegment(name, i == len(names)-1, entries)
		if err != nil {
			return persimmoncross.HardState{}, persimmoncross.Snapshot{}, nil, err
		}
	}
	entries, err = l.trim(entries, snapshot)
	if err != nil {
		return persimmoncross.HardState{}, persimmoncross.Snapshot{}, nil, err
	}
	if err := l.syncLoaded(snapshot); err != nil {
		return persimmoncross.HardState{}, persimmoncross.Snapshot{}, nil, err
	}
	return l.hard, snapshot, entries, nil
}

// syncLoaded makes durable what was read. A process that was killed between a write and its
// sync leaves bytes that the next one reads, and acknowledges, but that a loss of power takes.
func (l *Log) syncLoaded(s persimmoncross.Snapshot) error {
	for _, g := range l.segments {
		if err := l.files.SyncFile(g.path); err != nil {
			return err
		}
	}
	if s.Index > 0 {
		if err := l.files.SyncFile(filepath.Join(l.Path, snapshotName)); err != nil {
			return err
		}
	}
	return l.files.SyncFolder(l.Path)
}

// trim drops what the snapshot covers and checks that the rest joins on.
func (l *Log) trim(entries []persimmoncross.Entry, s persimmoncross.Snapshot) ([]persimmoncross.Entry, error) {
	for len(entries) > 0 && entries[0].Index <= s.Index {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index != s.Index+1 {
		return nil, damaged(l.Path, fmt.Errorf("entries %d to %d are missing", s.Index+1, entries[0].Index-1))
	}
	if len(entries) > 0 && entries[0].Term < s.Term {
		// An installed snapshot contradicted these uncommitted entries. Keeping
		// them would make the log look older than what this member acknowledged.
		return nil, nil
	}
	return entries, nil
}

func (l *Log) loadSnapshot() (persimmoncross.Snapshot, error) {
	path := filepath.Join(l.Path, snapshotName)
	data, err := l.files.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return persimmoncross.Snapshot{}, nil
	}
	if err != nil {
		return persimmoncross.Snapshot{}, failure("read", path, err)
	}
	payloads, _, damage := record.SplitFrames(data)
	if damage != record.Whole || len(payloads) != 1 {
		return persimmoncross.Snapshot{}, damaged(path, errors.New("checksum mismatch"))
	}
	s := &record.Snapshot{}
	if err := proto.Unmarshal(payloads[0], s); err != nil {
		return persimmoncross.Snapshot{}, damaged(path, err)
	}
	return s.Root(), nil
}

func (l *Log) loadSegment(path string, last bool, entries []persimmoncross.Entry) ([]persimmoncross.Entry, error) {
	if _, err := fmt.Sscanf(filepath.Base(path), segmentName, &l.next); err != nil {
		return nil, damaged(path, errors.New("not a segment's name"))
	}
	l.next++
	data, err := l.files.ReadFile(path)
	if err != nil {
		return nil, failure("read", path, err)
	}
	payloads, size, damage := record.SplitFrames(data)
	// A segment that is not the last can end in a torn frame only where a write
	// failed and the next segment took over; that frame was never acknowledged.
	if damage == record.Corrupt {
		return nil, damaged(path, fmt.Errorf("checksum mismatch at byte %d", size))
	}
	if damage == record.Torn && last {
		if err := l.files.Truncate(path, int64(size)); err != nil {
			return nil, failure("truncate", path, err)
		}
	}
	if len(payloads) == 0 {
		// Its begin was lost with the power. It must not count as the segment that
		// holds the hard state, or a compaction would drop the one that does.
		if err := l.files.Remove(path); err != nil {
			return nil, failure("remove", path, err)
		}
		return entries, nil
	}
	s := segment{
		path: path,
	}
	for _, p := range payloads {
		f, err := record.DecodeFrame(p)
		if err != nil {
			return nil, damaged(path, err)
		}
		if entries, err = l.replay(f, entries); err != nil {
			return nil, damaged(path, err)
		}
		if n := len(f.GetEntries()); n > 0 {
			s.last = max(s.last, f.GetEntries()[n-1].GetIndex())
		}
	}
	l.segments = append(l.segments, s)
	return entries, nil
}

func (l *Log) replay(f *record.Frame, entries []persimmoncross.Entry) ([]persimmoncross.Entry, error) {
	if h := f.GetHard(); h != nil {
		l.hard = persimmoncross.HardState{
			Term: h.GetTerm(),
			Vote: persimmoncross.MemberID(h.GetVote()),
		}
	}
	for _, r := range f.GetEntries() {
		e := r.Root()
		for len(entries) > 0 && entries[len(entries)-1].Index >= e.Index {
			entries = entries[:len(entries)-1]
		}
		if len(entries) > 0 && entries[len(entries)-1].Index != e.Index-1 {
			// A snapshot was installed over a gap; what came before is covered.
			entries = nil
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Append implements [persimmoncross.Storage].
func (l *Log) Append(hard *persimmoncross.HardState, entries []persimmoncross.Entry) error {
	f := &record.Frame{}
	if hard != nil {
		f.Hard = encodeHard(*hard)
	}
	for _, e := range entries {
		f.Entries = append(f.Entries, record.FromEntry(e))
	}
	if err := l.write(record.AppendFrame(nil, record.Encode(f))); err != nil {
		return err
	}
	if hard != nil {
		l.hard = *hard
	}
	if n := len(entries); n > 0 {
		s := &l.segments[len(l.segments)-1]
		s.last = max(s.last, entries[n-1].Index)
	}
	return nil
}

// write appends a frame to the last segment and syncs it.
func (l *Log) write(frame []byte) error {
	if l.file == nil || l.broken || l.size >= segmentSize {
		if err := l.roll(); err != nil {
			return err
		}
	}
	if _, err := l.file.WriteAt(frame, l.size); err != nil {
		l.broken = true
		return failure("append", l.file.Name(), err)
	}
	if err := l.file.Sync(); err != nil {
		l.broken = true
		return failure("sync", l.file.Name(), err)
	}
	l.size += int64(len(frame))
	return nil
}

// roll begins a new segment. What a failed write left behind the last one's
// synced bytes is cut off first, so that no later start takes it for synced.
// A segment starts with the hard state, so that earlier ones can be dropped.
func (l *Log) roll() error {
	if l.file != nil {
		if l.broken {
			if err := l.file.Truncate(l.size); err != nil {
				return failure("truncate", l.file.Name(), err)
			}
		}
		l.file.Close()
		l.file = nil
	}
	path := filepath.Join(l.Path, fmt.Sprintf(segmentName, l.next))
	f, err := l.files.Open(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
	if err != nil {
		return failure("begin segment", path, err)
	}
	first := record.AppendFrame(nil, record.Encode(&record.Frame{
		Hard: encodeHard(l.hard),
	}))
	_, err = f.Write(first)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.files.SyncFolder(l.Path)
	}
	if err != nil {
		f.Close()
		l.files.Remove(path)
		return failure("begin segment", path, err)
	}
	l.file = f
	l.size = int64(len(first))
	l.broken = false
	l.next++
	l.segments = append(l.segments, segment{
		path: path,
	})
	return nil
}

// Compact implements [persimmoncross.Storage].
func (l *Log) Compact(s persimmoncross.Snapshot, keep uint64) error {
	path := filepath.Join(l.Path, snapshotName)
	data := record.AppendFrame(nil, record.Encode(record.FromSnapshot(s)))
	if err := replaceFile(l.files, path, data); err != nil {
		return err
	}
	// The last segment stays: it holds the hard state.
	var kept []segment
	dropping := true
	for i, g := range l.segments {
		if dropping && i < len(l.segments)-1 && g.last <= keep {
			if err := l.files.Remove(g.path); err != nil {
				return failure("remove", g.path, err)
			}
			continue
		}
		dropping = false
		kept = append(kept, g)
	}
	l.segments = kept
	return nil
}

// Close implements [persimmoncross.Storage].
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

func encodeHard(h persimmoncross.HardState) *record.Hard {
	return &record.Hard{
		Term: h.Term,
		Vote: uint64(h.Vote),
	}
}

func damaged(path string, err error) *Error {
	return &Error{
		Operation: "load",
		Kind:      Damaged,
		Path:      path,
		Err:       err,
		Advice:    "this VM must not vote from a damaged log: move its data folder away, start it empty, and run `persimmoncross repair`",
	}
}
