package vm

import (
	"context"
	"errors"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// joiner fetches answers from other VMs. It implements [persimmoncross.Joiner].
type joiner struct {
	vm *VM
}

// Join implements [persimmoncross.Joiner].
func (j *joiner) Join(ctx context.Context, owner, organisation, key string, sink persimmoncross.ResponseSink) error {
	if owner == j.vm.owner() {
		// The recording has just ended: the ledger knows more at the next claim.
		return failure("join", Absent, nil, "%s has ended the request", owner)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := j.vm.node.Call(ctx, vmOf(owner), &wire.Call{
		Body: &wire.Call_Join{
			Join: &wire.Join{
				Organisation: organisation,
				Key:          key,
			},
		},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	return copyFrames(s, sink)
}

// copyFrames hands the frames to the sink. Once the sink has got a part, the
// answer's end is its refusal, never an error.
func copyFrames(s *peer.Stream, sink persimmoncross.ResponseSink) error {
	started := false
	for {
		f := &wire.Frame{}
		if err := s.Receive(f); err != nil {
			if !started {
				return err
			}
			sink.End(persimmoncross.NewRefusal(persimmoncross.CodeUpstreamFailed, "the entry that runs the request is gone; ask again with the same key").WithRunStatus(persimmoncross.Ran).WithRetryAfter(otherWait))
			return nil
		}
		switch {
		case f.GetUnknown():
			return errors.New("vm: the owner does not run the request")
		case f.GetHead() != nil:
			started = true
			if sink.Start(headOf(f.GetHead())) != nil {
				return nil
			}
		case f.GetEnd():
			sink.End(refusalOf(f.GetRefusal()))
			return nil
		default:
			if sink.Write(f.GetChunk()) != nil {
				return nil
			}
		}
	}
}

// join serves another VM's joiner.
func (h *handler) join(ctx context.Context, j *wire.Join, s *peer.Stream) {
	if !h.vm.dispatcher.ServeJoin(ctx, j.GetOrganisation(), j.GetKey(), &frameSink{
		stream: s,
	}) {
		s.Send(&wire.Frame{
			Unknown: true,
		})
	}
}

// frameSink sends an answer to another VM. It implements [persimmoncross.ResponseSink].
type frameSink struct {
	stream *peer.Stream
}

// Start implements [persimmoncross.ResponseSink].
func (f *frameSink) Start(h persimmoncross.ResponseHead) error {
	return f.stream.Send(&wire.Frame{
		Head: &wire.Head{
			Status:  int32(h.Status),
			Type:    h.ContentType,
			Version: h.Version.String(),
			Request: h.RequestID,
			Stream:  h.Stream,
		},
	})
}

// Write implements [persimmoncross.ResponseSink].
func (f *frameSink) Write(chunk []byte) error {
	return f.stream.Send(&wire.Frame{
		Chunk: chunk,
	})
}

// End implements [persimmoncross.ResponseSink].
func (f *frameSink) End(r *persimmoncross.Refusal) {
	end := &wire.Frame{
		End: true,
	}
	if r != nil {
		end.Refusal = &wire.Refusal{
			Code:   string(r.Code),
			Run:    string(r.Run),
			Detail: r.Detail,
			After:  int64(r.RetryAfter),
		}
	}
	f.stream.Send(end)
}

func headOf(h *wire.Head) persimmoncross.ResponseHead {
	return persimmoncross.ResponseHead{
		Status:      int(h.GetStatus()),
		ContentType: h.GetType(),
		Version:     persimmoncross.ParseModelVersion(h.GetVersion()),
		RequestID:   h.GetRequest(),
		Stream:      h.GetStream(),
	}
}

func refusalOf(r *wire.Refusal) *persimmoncross.Refusal {
	if r == nil {
		return nil
	}
	return persimmoncross.NewRefusal(persimmoncross.Code(r.GetCode()), "%s", r.GetDetail()).
		WithRunStatus(persimmoncross.RunStatus(r.GetRun())).
		WithRetryAfter(durationOf(r.GetAfter()))
}
