// Package linker links entry instances with one another: WebSocket with CBOR,
// authenticated by a shared secret.
package linker

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/stamper"
)

// Kind tells frames apart.
type Kind string

// The kinds of frames.
const (
	// KindBeat carries a Beat.
	KindBeat Kind = "Beat"
	// KindAsk carries a question on a topic.
	KindAsk Kind = "Ask"
	// KindTell carries a command on a topic that is not answered.
	KindTell Kind = "Tell"
	// KindAnswer carries the answer to the question with the same ID.
	KindAnswer Kind = "Answer"
)

// Frame is one message on a link.
type Frame struct {
	Kind Kind
	// ID names a question on its link. It is never used twice, so that a late
	// answer finds no other question.
	ID uint64 `cbor:",omitempty"`
	// Stamp is the sender's clock.
	Stamp stamper.Stamp
	// Topic names the handler of a question.
	Topic string `cbor:",omitempty"`
	// Fault says why a question was not answered; empty if it was.
	Fault string `cbor:",omitempty"`
	// Body is encoded by the codec of the kind or topic.
	Body []byte `cbor:",omitempty"`
}

// MaxFeeds is how many kinds of objects an instance follows at most.
const MaxFeeds = 5

// Beat is what an instance tells its peers regularly, and at once when it
// changes.
type Beat struct {
	// Revision is the configuration in force at the sender.
	Revision uint64
	// Roster is the store's revision of the sender's list of seats.
	Roster uint64
	// AgeMillis is how long ago the sender's configuration was confirmed to be the
	// newest, in milliseconds.
	AgeMillis int64
	// Leaving says that the sender has begun its stop.
	Leaving bool `cbor:",omitempty"`
	// Feeds holds, for each kind of objects that the sender follows, the store's
	// revision of the last change that it knows.
	Feeds [MaxFeeds]uint64
	// StoreLost says that the platform does not answer the sender.
	StoreLost bool `cbor:",omitempty"`
	// EveryMillis is the time until the sender's next beat, in milliseconds.
	EveryMillis int64 `cbor:",omitempty"`
	// Seatless says that the sender has a configuration and looks for a seat.
	Seatless bool `cbor:",omitempty"`
}

// Differs says whether a beat tells of a change, and not just of time that passes.
func (b Beat) Differs(other Beat) bool {
	b.AgeMillis = other.AgeMillis
	b.EveryMillis = other.EveryMillis
	return b != other
}

// challenge opens a handshake; the accepting side sends it.
type challenge struct {
	Nonce []byte
}

// proof shows that its sender knows the secret.
type proof struct {
	Member registrar.Member
	Nonce  []byte
	MAC    []byte
}

// The roles that a proof is made in, so that one cannot be sent back as another.
const (
	roleDial   = "dial"
	roleAccept = "accept"
)

const nonceBytes = 32

var (
	frames     = encoder.CBOR[Frame]{}
	beats      = encoder.CBOR[Beat]{}
	challenges = encoder.CBOR[challenge]{}
	proofs     = encoder.CBOR[proof]{}
	members    = encoder.CBOR[registrar.Member]{}
)

// prove returns the code of a role over both nonces and the sender's member.
func prove(secret, role string, theirs, ours []byte, member registrar.Member) ([]byte, error) {
	encoded, err := members.Encode(member)
	if err != nil {
		return nil, err
	}
	code := hmac.New(sha256.New, []byte(secret))
	code.Write([]byte(role))
	code.Write(theirs)
	code.Write(ours)
	code.Write(encoded)
	return code.Sum(nil), nil
}
