package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
)

// FuzzMessage reads any bytes as a peer's message: it must convert without a
// panic, and the converted message must encode and convert to the same.
func FuzzMessage(f *testing.F) {
	seed, err := proto.Marshal(FromMessage(persimmoncross.Message{
		Group: "settings",
		Kind:  persimmoncross.MessageAppend,
		Entries: []persimmoncross.Entry{
			{
				Index: 1,
				Kind:  persimmoncross.EntryConfig,
				Config: persimmoncross.Config{
					Voters: []persimmoncross.Member{
						{
							ID: 1,
							VM: "vm-a",
						},
					},
				},
			},
		},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		w := &Message{}
		if proto.Unmarshal(data, w) != nil {
			return
		}
		once := FromMessage(w.Root())
		twice := FromMessage(once.Root())
		if !proto.Equal(once, twice) {
			t.Error("a conversion loses something")
		}
	})
}
