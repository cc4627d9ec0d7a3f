package dispatch_test

import (
	"crypto/sha256"
	"testing"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// Guards against copies of an isolated request that run together and each crash an engine.
func TestIsolatedRequestRunsOneCopyAtATime(t *testing.T) {
	e := newEnv(t)
	request := e.chatRequest("small@1", 1)
	now := e.dispatcher.Clock.Now()
	digest := quarantine.DigestOf(request.Organisation.Name, request.Method, request.TargetName, request.Path, sha256.Sum256(request.Body))
	e.dispatcher.QuarantineStore.Bootstrap([]persimmoncross.Quarantine{{
		Digest:  digest,
		Service: request.TargetName,
		Stage:   persimmoncross.QuarantineIsolate,
	}}, now)
	other := &quarantine.Request{
		Digest:   digest,
		Service:  request.TargetName,
		Recorder: e.dispatcher.QuarantineRecorder,
	}
	if !other.ClaimIsolatedRun(now) {
		t.Fatal("the first copy may not run")
	}
	run := other.BeginRun("engine", now)
	s := e.serve(request)
	if s.refusal == nil || s.refusal.Code != persimmoncross.CodeNoUpstream || s.refusal.Run != persimmoncross.NotRun || s.refusal.RetryAfter <= 0 {
		t.Errorf("beside another copy: %v", s.refusal)
	}
	run.MarkCompleted(e.dispatcher.Clock.Now())
	if s := e.serve(e.chatRequest("small@1", 1)); s.refusal != nil {
		t.Errorf("after the other copy: %v", s.refusal)
	}
}

// Guards against requests that share a message which crashes engines, and are new each time otherwise.
func TestRequestWithRefusedPartDoesNotRun(t *testing.T) {
	e := newEnv(t)
	request := e.chatRequest("small@1", 1)
	request.PartIDs = []string{"system", "bad", "question"}
	parts := quarantine.PartDigests(request.TargetName, request.PartIDs)
	e.dispatcher.QuarantineStore.Bootstrap([]persimmoncross.Quarantine{{
		Digest:  parts[1],
		Part:    true,
		Service: request.TargetName,
		Stage:   persimmoncross.QuarantineRefuse,
	}}, e.dispatcher.Clock.Now())
	if s := e.serve(request); s.refusal == nil || s.refusal.Code != persimmoncross.CodeQuarantined || s.refusal.Run != persimmoncross.NotRun {
		t.Errorf("with the refused part: %v", s.refusal)
	}
	sound := e.chatRequest("small@1", 1)
	sound.PartIDs = []string{"system", "good", "question"}
	if s := e.serve(sound); s.refusal != nil {
		t.Errorf("without it: %v", s.refusal)
	}
	last := e.chatRequest("small@1", 1)
	last.PartIDs = []string{"system", "bad"}
	if s := e.serve(last); s.refusal != nil {
		t.Errorf("the last part belongs to the request: %v", s.refusal)
	}
}
