package relay

import "persimmoncross/core/state/register"

// requestResults are the results of one request's attempts during an upgrade. A request has one result on
// each version, that of its first attempt there, because the retries of a request that fails for
// reasons of its own are no independent evidence. Failures are counted when it is known whether
// the request succeeds elsewhere.
type requestResults struct {
	byVersion map[string]*versionResult
	// failedUpstreams are the names of the upstreams at which the request failed.
	failedUpstreams map[string]bool
}

type versionResult struct {
	key     CanaryKey
	failed  bool
	counted bool
}

// recordSuccess records that the request succeeded on the key's version. Its failures on other versions
// are theirs then.
func (r *requestResults) recordSuccess(s *CanaryStats, u *register.Upgrade, k CanaryKey) {
	if u == nil {
		return
	}
	r.countFailures(s, u)
	if _, known := r.byVersion[k.Version]; known {
		return
	}
	r.add(k).counted = true
	s.recordResult(u, k, false)
}

// recordFailure records that the request failed on the key's version, at the upstream.
func (r *requestResults) recordFailure(s *CanaryStats, u *register.Upgrade, k CanaryKey, upstream string) {
	if u == nil {
		return
	}
	if r.failedUpstreams == nil {
		r.failedUpstreams = map[string]bool{}
	}
	r.failedUpstreams[upstream] = true
	result, known := r.byVersion[k.Version]
	switch {
	case !known:
		r.add(k).failed = true
	case result.counted && !result.failed: // the response was interrupted
		result.failed = true
		s.recordInterrupted(u, result.key)
	}
}

func (r *requestResults) add(k CanaryKey) *versionResult {
	if r.byVersion == nil {
		r.byVersion = map[string]*versionResult{}
	}
	result := &versionResult{
		key: k,
	}
	r.byVersion[k.Version] = result
	return result
}

// failedOn reports whether the request failed on the version.
func (r *requestResults) failedOn(version string) bool {
	result := r.byVersion[version]
	return result != nil && result.failed
}

// finish counts the failures of a request that gets no more attempts, unless it failed at several
// upstreams, of the old version too: then it fails wherever it runs.
func (r *requestResults) finish(s *CanaryStats, u *register.Upgrade) {
	if u == nil {
		return
	}
	onlyTarget := len(r.byVersion) == 1 && r.failedOn(u.Target)
	if len(r.failedUpstreams) > 1 && !onlyTarget {
		return
	}
	r.countFailures(s, u)
}

func (r *requestResults) countFailures(s *CanaryStats, u *register.Upgrade) {
	for _, result := range r.byVersion {
		if result.failed && !result.counted {
			result.counted = true
			s.recordResult(u, result.key, true)
		}
	}
}
