// Package dispatch runs a request from admission to settlement: it claims the
// request in the ledger, chooses a version and an upstream for each attempt,
// retries where that is safe, forwards the response, and settles the request.
//
// The guarantees depend on the order of the steps:
//
//   - the lease, the permission and the withdrawal of versions are checked again
//     immediately before each attempt, not only at admission;
//   - a request that has an idempotency key, has a session to be pinned, or must
//     not run twice is claimed (committed) before its first attempt; any other
//     request is claimed while its first attempt is already running;
//   - once a part of an answer has been sent to the caller, only the same run may
//     continue it, through the engine's resume;
//   - the end of the answer is sent after the settlement is committed.
package dispatch
