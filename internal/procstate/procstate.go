// Package procstate tells what the system says of other processes.
package procstate

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

const (
	stoppedState = 'T'
	stopPoll     = time.Millisecond
)

// AwaitStopped waits until a process that was sent SIGSTOP is stopped. It may run on for as long as one of its threads
// waits for a disk, as the signal is taken by that thread.
func AwaitStopped(pid int, timeout time.Duration) error {
	for until := time.Now().Add(timeout); ; time.Sleep(stopPoll) {
		state, err := stateOf(pid)
		switch {
		case err != nil:
			return err
		case state == stoppedState:
			return nil
		case time.Now().After(until):
			return fmt.Errorf("procstate: %d is in state %c %v after SIGSTOP", pid, state, timeout)
		}
	}
}

// stateOf returns the state of a process, as proc(5) abbreviates it.
func stateOf(pid int) (byte, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name before it may hold any character.
	_, rest, found := bytes.Cut(text[bytes.LastIndexByte(text, ')')+1:], []byte(" "))
	if !found || len(rest) == 0 {
		return 0, fmt.Errorf("procstate: %d has no state", pid)
	}
	return rest[0], nil
}
