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
