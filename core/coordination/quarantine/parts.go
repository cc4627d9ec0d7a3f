package quarantine

import (
	"persimmoncross"
)

// maxParts limits the parts of a prompt that are considered, from the first one on.
const maxParts = 8

// PartDigests returns the digests of the parts of a prompt that other requests may share: all but the last,
// which belongs to the request itself. They cover the organisation, like [DigestOf], and the service,
// because a part that crashes the upstreams of one service may be harmless to another's.
func PartDigests(organisation, service string, ids []string) []persimmoncross.Digest {
	if len(ids) < 2 {
		return nil
	}
	shared := ids[:min(len(ids)-1, maxParts)]
	digests := make([]persimmoncross.Digest, 0, len(shared))
	for _, id := range shared {
		digests = append(digests, digestOf(encodeFields("part", organisation, service, id)))
	}
	return digests
}
