package main

import "sync"

// runs counts how often each request was run, and where.
type runs struct {
	mu sync.Mutex // guards at
	at map[string][]string
}

// add records that a replica begins to work on a request.
func (u *runs) add(r *replica, id string) {
	r.record.say("%s runs %s", r.id, id)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.at == nil {
		u.at = map[string][]string{}
	}
	u.at[id] = append(u.at[id], r.id)
}

// checkTwice records each request that ran more than once.
func (u *runs) checkTwice(r *record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.at {
		if len(at) > 1 {
			r.breaks("TWICE: %s is not idempotent and ran %d times, at %v", id, len(at), at)
		}
	}
	r.say("%d requests were run", len(u.at))
}
