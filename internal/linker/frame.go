// Package linker connects the entry instances with one another. A link is a WebSocket
// connection that carries CBOR frames: heartbeats, calls and their answers, and one-way
// commands. A shared secret authenticates both ends. Which addresses to keep links to,
// what a heartbeat says and what the topics mean is left to the instance (packages
// server and steerer).
package linker

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// Kind is the type of a frame.
type Kind string

// The kinds of frames.
const (
	// KindHeartbeat carries a heartbeat.
	KindHeartbeat Kind = "Beat"
	// KindCall carries a call on a topic.
	KindCall Kind = "Ask"
	// KindSend carries a one-way command on a topic, which gets no answer.
	KindSend Kind = "Tell"
	// KindAnswer carries the answer to the call with the same ID.
	KindAnswer Kind = "Answer"
)

// Frame is one message on a link.
type Frame struct {
	Kind Kind
	// ID identifies a call on its link. It is never reused, so a late answer can't
	// be taken for the answer to another call.
	ID uint64 `cbor:",omitempty"`
	// Stamp is the time of the sender's logical clock.
	Stamp timestamper.Timestamp
	// Topic selects the handler of a call or a one-way command.
	Topic string `cbor:",omitempty"`
	// Fault is the error text of a call that failed, empty otherwise.
	Fault string `cbor:",omitempty"`
	// Body is encoded with the codec of the frame's kind or topic.
	Body []byte `cbor:",omitempty"`
}

// MaxCollections is the maximum number of collections that an instance keeps local
// copies of.
const MaxCollections = 5

// Heartbeat is what an instance reports to its peers about itself, at regular intervals
// and at once after HeartbeatNow or HeartbeatPlaceNow. Package server leaves Feeds and
// StoreLost unset, package steerer Roster and Seatless.
type Heartbeat struct {
	// Revision is the revision of the configuration in force at the sender.
	Revision uint64
	// Roster is the store's revision of the sender's roster, the list of the seats that
	// are held. A seat is the right to one part of every limit, held by one incarnation.
	Roster uint64
	// AgeMillis is the time since the sender's configuration was last confirmed to
	// be the newest, in milliseconds. In package steerer it is the time since the platform
	// last answered the sender or a peer of it, rounded up (see steerer.contact).
	AgeMillis int64
	// Leaving reports that the sender is draining.
	Leaving bool `cbor:",omitempty"`
	// Feeds holds, for each collection that the sender has a local copy of, the
	// store's revision of the last change in that copy.
	Feeds [MaxCollections]uint64
	// Eras holds, for each revision of Feeds, the store's era that it belongs to. Builds
	// before it don't report it.
	Eras [MaxCollections]uint64 `cbor:",omitzero"`
	// StoreLost reports that the platform does not answer the sender.
	StoreLost bool `cbor:",omitempty"`
	// EveryMillis is the sender's present interval between two heartbeats on this link,
	// in milliseconds.
	EveryMillis int64 `cbor:",omitempty"`
	// Seatless reports that the sender has a configuration but no seat yet, and is not
	// draining: it is trying to claim one.
	Seatless bool `cbor:",omitempty"`
	// Saturated reports that the sender's processor is used up, so that look-ups should name
	// it to fewer callers.
	Saturated bool `cbor:",omitempty"`
}

// Position returns the position in the store's history of the sender's copy of a collection.
func (h Heartbeat) Position(collection int) storer.Position {
	return storer.Position{
		Era:      h.Eras[collection],
		Revision: h.Feeds[collection],
	}
}

// WithPosition returns a copy with that position for the sender's copy of a collection.
func (h Heartbeat) WithPosition(collection int, position storer.Position) Heartbeat {
	h.Eras[collection] = position.Era
	h.Feeds[collection] = position.Revision
	return h
}

// Differs reports whether two heartbeats differ in more than the fields that
// change with time alone, AgeMillis and EveryMillis.
func (h Heartbeat) Differs(other Heartbeat) bool {
	h.AgeMillis = other.AgeMillis
	h.EveryMillis = other.EveryMillis
	return h != other
}

// challenge is the first message of a handshake. The accepting side sends it.
type challenge struct {
	Nonce []byte
}

// proof authenticates its sender: its MAC can be computed only with the secret.
type proof struct {
	Member registrar.Member
	Nonce  []byte
	MAC    []byte
}

// The roles are part of the MAC, so that a peer can't reflect the proof of one side
// as the proof of the other.
const (
	roleDial   = "dial"
	roleAccept = "accept"
)

const nonceBytes = 32

var (
	frameCodec     = encoder.CBOR[Frame]{}
	heartbeatCodec = encoder.CBOR[Heartbeat]{}
	challengeCodec = encoder.CBOR[challenge]{}
	proofCodec     = encoder.CBOR[proof]{}
	memberCodec    = encoder.CBOR[registrar.Member]{}
)

// computeMAC returns the code that authenticates the prover's role and member. It
// covers both nonces, the verifier's first. It leaves out the member's capacity: a build
// without that field drops it on decoding and would compute another code.
func computeMAC(secret, role string, verifierNonce, proverNonce []byte, member registrar.Member) ([]byte, error) {
	encoded, err := memberCodec.Encode(member.WithCapacity(registrar.Capacity{}))
	if err != nil {
		return nil, err
	}
	code := hmac.New(sha256.New, []byte(secret))
	code.Write([]byte(role))
	code.Write(verifierNonce)
	code.Write(proverNonce)
	code.Write(encoded)
	return code.Sum(nil), nil
}
