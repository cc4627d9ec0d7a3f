// Package record holds the durable formats: what log files, commands and
// snapshots consist of. The types are generated from record.proto; this file
// converts between them and the root package's.
package record

import (
	"google.golang.org/protobuf/proto"

	"persimmoncross"
)

// FromConfig returns the durable form of a set of voters.
func FromConfig(c persimmoncross.Config) *Config {
	r := &Config{}
	for _, v := range c.Voters {
		r.Voters = append(r.Voters, &Member{
			Id: uint64(v.ID),
			Vm: v.VM,
		})
	}
	return r
}

// Root returns the root package's form.
func (x *Config) Root() persimmoncross.Config {
	c := persimmoncross.Config{}
	for _, v := range x.GetVoters() {
		c.Voters = append(c.Voters, persimmoncross.Member{
			ID: persimmoncross.MemberID(v.GetId()),
			VM: v.GetVm(),
		})
	}
	return c
}

// FromEntry returns the durable form of a log entry.
func FromEntry(e persimmoncross.Entry) *Entry {
	r := &Entry{
		Index: e.Index,
		Term:  e.Term,
		Kind:  uint32(e.Kind),
		Data:  e.Data,
	}
	if e.Kind == persimmoncross.EntryConfig {
		r.Set = FromConfig(e.Config)
	}
	return r
}

// Root returns the root package's form.
func (x *Entry) Root() persimmoncross.Entry {
	return persimmoncross.Entry{
		Index:  x.GetIndex(),
		Term:   x.GetTerm(),
		Kind:   persimmoncross.EntryKind(x.GetKind()),
		Data:   x.GetData(),
		Config: x.GetSet().Root(),
	}
}

// FromSnapshot returns the durable form of a snapshot.
func FromSnapshot(s persimmoncross.Snapshot) *Snapshot {
	return &Snapshot{
		Index: s.Index,
		Term:  s.Term,
		Set:   FromConfig(s.Config),
		Data:  s.Data,
	}
}

// Root returns the root package's form.
func (x *Snapshot) Root() persimmoncross.Snapshot {
	return persimmoncross.Snapshot{
		Index:  x.GetIndex(),
		Term:   x.GetTerm(),
		Config: x.GetSet().Root(),
		Data:   x.GetData(),
	}
}

// Encode returns a message's bytes. The project's own messages always encode.
func Encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(m)
	if err != nil {
		panic("record: " + err.Error())
	}
	return data
}
