// Package wire holds the messages between the project's own processes. The
// types are generated from wire.proto; this file converts consensus messages.
package wire

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/state/record"
)

// FromMessage returns the wire form of a consensus message.
func FromMessage(m persimmoncross.Message) *Message {
	w := &Message{
		Group:     m.Group,
		Kind:      uint32(m.Kind),
		From:      uint64(m.From),
		To:        uint64(m.To),
		Vm:        m.FromVM,
		Term:      m.Term,
		Index:     m.Index,
		Logterm:   m.LogTerm,
		Commit:    m.Commit,
		Reject:    m.Reject,
		Hint:      m.LastIndexHint,
		Sent:      int64(m.SentAt),
		Probe:     int64(m.LeaseRequestedAt),
		Confirmed: m.LeaseCommitIndex,
		Transfer:  m.LeadershipTransfer,
		Offset:    m.SnapshotOffset,
		Total:     m.SnapshotSize,
		Data:      m.Data,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, record.FromEntry(e))
	}
	if m.Kind == persimmoncross.MessageSnapshotChunk {
		w.Set = record.FromConfig(m.Config)
	}
	return w
}

// Root returns the root package's form.
func (x *Message) Root() persimmoncross.Message {
	m := persimmoncross.Message{
		Group:              x.GetGroup(),
		Kind:               persimmoncross.MessageKind(x.GetKind()),
		From:               persimmoncross.MemberID(x.GetFrom()),
		To:                 persimmoncross.MemberID(x.GetTo()),
		FromVM:             x.GetVm(),
		Term:               x.GetTerm(),
		Index:              x.GetIndex(),
		LogTerm:            x.GetLogterm(),
		Commit:             x.GetCommit(),
		Reject:             x.GetReject(),
		LastIndexHint:      x.GetHint(),
		SentAt:             time.Duration(x.GetSent()),
		LeaseRequestedAt:   time.Duration(x.GetProbe()),
		LeaseCommitIndex:   x.GetConfirmed(),
		LeadershipTransfer: x.GetTransfer(),
		SnapshotOffset:     x.GetOffset(),
		SnapshotSize:       x.GetTotal(),
		Data:               x.GetData(),
		Config:             x.GetSet().Root(),
	}
	for _, e := range x.GetEntries() {
		m.Entries = append(m.Entries, e.Root())
	}
	return m
}
