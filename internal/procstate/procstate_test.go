package procstate

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// Guards against a test that takes a process for suspended while it runs on.
func TestAwaitStopped(t *testing.T) {
	c := exec.Command("sleep", "60")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Wait()
	defer c.Process.Kill()
	if err := AwaitStopped(c.Process.Pid, 20*time.Millisecond); err == nil {
		t.Error("a process that runs counts as stopped")
	}
	if err := c.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if err := AwaitStopped(c.Process.Pid, time.Minute); err != nil {
		t.Error(err)
	}
	if err := AwaitStopped(os.Getpid(), 0); err == nil {
		t.Error("this process counts as stopped")
	}
}
