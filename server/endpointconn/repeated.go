package endpointconn

import (
	"hash/maphash"
	"strconv"

	"pineport/protocol"
)

// A network may deliver a response more than once, and a repeated response may arrive at any later time. HTTP/1.1 does not tell which
// request a response belongs to. A response on a connection that carried another request before may therefore be a repeated one to
// an earlier request. This file holds what such a response proves:
//
//   - A response that differs from all earlier ones on its connection, by its status or body, is the response to the outstanding request. All earlier ones were
//     accepted by the same rule, so no other request is outstanding and nothing else can arrive. The first response on a connection is the
//     simplest case.
//   - A response that equals an earlier one proves nothing. It is ignored, and the response to the outstanding request is still awaited.
//   - An incomplete response on such a connection proves nothing either.
//
// Reuse only pays where the next response is likely to differ. A connection is therefore kept only after a successful response of an endpoint
// whose successful responses have different bodies, see peerResponses. Error responses are often equal, and so are those of discovery (an
// unchanged list, a confirmed notice): each of its exchanges has a connection of its own. Used connections to discovery are kept open for
// requests whose response is not needed as a proof, while no connection can be opened (Exchange.OverUsedConn).

// maxConnRequests bounds the requests on one connection, and with them the digests that are kept of its responses.
const maxConnRequests = 256

// maxIgnoredResponses bounds the repeated responses that are ignored on one connection.
const maxIgnoredResponses = 256

// maxKnownPeers bounds the peers whose responses are remembered. Beyond it all are learned anew.
const maxKnownPeers = 8192

// responseLog holds digests of the responses that were accepted on one connection. Only the poller uses it.
type responseLog struct {
	seen    map[uint64]bool
	ignored int
}

// accept records a response and reports whether it differs from all that were accepted before.
func (l *responseLog) accept(response protocol.Response) bool {
	digest := responseDigest(response)
	if l.seen[digest] {
		l.ignored++
		return false
	}
	if l.seen == nil {
		l.seen = map[uint64]bool{}
	}
	l.seen[digest] = true
	return true
}

var digestSeed = maphash.MakeSeed()

// responseDigest returns a digest of the status and body of a response. A proxy on the way may change headers of a repeated response.
func responseDigest(response protocol.Response) uint64 {
	var digest maphash.Hash
	digest.SetSeed(digestSeed)
	digest.WriteString(strconv.Itoa(response.Status) + " ")
	digest.Write(response.Body)
	return digest.Sum64()
}

// peerResponses tells whether a peer's next successful response is likely to differ from its earlier ones.
type peerResponses struct {
	last     uint64 // digest of the last one; 0 before the first
	differed bool   // two in a row had different bodies
	equal    bool   // two in a row had equal bodies, or one that was not repeated was ignored
}

// observe records a successful response.
func (r *peerResponses) observe(response protocol.Response) {
	digest := responseDigest(response)
	if r.last != 0 {
		r.differed, r.equal = r.differed || digest != r.last, r.equal || digest == r.last
	}
	r.last = digest
}

// differ reports whether all successful responses so far had different bodies, one after the other.
func (r *peerResponses) differ() bool { return r.differed && !r.equal }
