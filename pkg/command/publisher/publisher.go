// Package publisher publishes changes of the declaration in a store. It applies a
// change to the published set, checks the result as a whole (package checker), writes
// the encoded document as immutable chunks, and then replaces one object, the head, by
// a conditional write: that write is the publication. It does not notify instances;
// they watch the head and put the new revision in force (package applier).
package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// HeadName is the name of the head in the store.
	HeadName = "Config/Head"
	// chunkPrefix starts the names of chunks.
	chunkPrefix = "Config/Chunks/"
	// chunkBytes is the largest size of a chunk, in bytes; below storer.MaxValueBytes.
	chunkBytes = 900_000
	// maxAttempts is how many times one change is tried. It is tried again after a
	// conflict with another change, and after a write whose answer was lost.
	maxAttempts = 8
)

// Head names the published configuration.
type Head struct {
	// Revision grows with each published configuration, by one or to one more than
	// Change.Above; never zero.
	Revision uint64
	// Chunks are the hashes of the parts of the encoded document, in order.
	Chunks []string
	// AcceptedMillis is the time of the accepted request, in milliseconds since the Unix
	// epoch.
	AcceptedMillis int64
	// By names who requested it.
	By string
}

// Bundle is a head and the document that it names.
type Bundle struct {
	Head     Head
	Document declarer.Document
}

// Change is an operator's request to change the configuration.
type Change struct {
	// Document holds the objects to add or replace.
	Document declarer.Document
	// Remove names the objects to remove.
	Remove []declarer.Reference
	// Withdraw names the keys to withdraw.
	Withdraw []string
	// Prune removes every object that Document does not hold.
	Prune bool
	// IfRevision, if not zero, is the revision that must be the published one; otherwise
	// the change is refused.
	IfRevision uint64
	// By names who requests the change.
	By string
	// Above is the revision in force at the instance that requests the change. A new
	// revision is higher than Above even if the store has lost its data, so that no
	// instance ignores it.
	Above uint64
	// AtMillis is the time of the request, in milliseconds since the Unix epoch.
	AtMillis int64
}

// Accepted is the result of an accepted change.
type Accepted struct {
	// Revision is the published revision that includes the change.
	Revision uint64
	// Unchanged says that the configuration already was as requested.
	Unchanged bool
	// Objects is how many objects the configuration holds.
	Objects int
}

// RefusedError is the error of a change that is invalid. The configuration is unchanged.
type RefusedError struct {
	// Faults is never empty.
	Faults []checker.Fault
}

// Error lists all faults, one a line.
func (r *RefusedError) Error() string {
	lines := make([]string, 0, len(r.Faults))
	for _, fault := range r.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// The errors of a valid change that could not be published.
var (
	// ErrRaced means that concurrent changes were published first in every attempt.
	ErrRaced = errors.New("concurrent changes were published first in every attempt; nothing has changed, try again")
	// ErrInDoubt means that the store stopped answering during the change, so that its
	// outcome is unknown.
	ErrInDoubt = errors.New("the store stopped answering; the change may be in force, read the configuration to find out")
)

// Publisher is the command that publishes changes, and the query that reads a published
// configuration. Any number of publishers may run at the same time: the conditional write
// of the head orders their changes.
type Publisher struct {
	heads     storer.Typed[Head]
	store     storer.Store
	documents handler.Codec[declarer.Document]
}

// New returns a publisher that writes to a store.
func New(store storer.Store, heads handler.Codec[Head], documents handler.Codec[declarer.Document]) *Publisher {
	return &Publisher{
		heads:     storer.NewTyped(store, heads),
		store:     store,
		documents: documents,
	}
}

var _ handler.Command[Change, Accepted] = (*Publisher)(nil)

// Do applies a change to the published set, checks the result as a whole, and publishes
// it. Its error is a *RefusedError if the change is invalid, ErrRaced or ErrInDoubt, or
// the error of reading, encoding or writing, such as a *storer.Error. Unless errors.Is
// finds ErrInDoubt, the change has not been published; a *RefusedError can be joined with
// ErrInDoubt.
func (p *Publisher) Do(ctx context.Context, change Change) (Accepted, error) {
	// unconfirmed is the last head whose write may have taken effect, or nil.
	var unconfirmed *Head
	for range maxAttempts {
		accepted, err := p.attempt(ctx, change, unconfirmed)
		var uncertain *uncertainError
		switch {
		case err == nil:
			return accepted, nil
		case errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound):
			// Another change was published meanwhile. Start again from its head.
		case errors.As(err, &uncertain):
			unconfirmed = &uncertain.head
		case unconfirmed != nil:
			return Accepted{}, errors.Join(ErrInDoubt, err)
		default:
			return Accepted{}, err
		}
	}
	if unconfirmed != nil {
		return Accepted{}, ErrInDoubt
	}
	return Accepted{}, ErrRaced
}

// Ask answers the query for the bundle that a head names. Its error names the chunk that
// is missing or does not match its hash.
func (p *Publisher) Ask(ctx context.Context, head Head) (Bundle, error) {
	var data []byte
	for _, chunk := range head.Chunks {
		object, err := p.store.Get(ctx, chunkPrefix+chunk)
		if err != nil {
			return Bundle{}, err
		}
		if hashOf(object.Value) != chunk {
			return Bundle{}, fmt.Errorf("chunk %s: content does not match the hash in its name", chunk)
		}
		data = append(data, object.Value...)
	}
	document, err := p.documents.Decode(data)
	return Bundle{
		Head:     head,
		Document: document,
	}, err
}

// attempt tries once to publish a change, starting from the current head. If that is
// the head of an earlier attempt whose answer was lost, the change is already published.
func (p *Publisher) attempt(ctx context.Context, change Change, unconfirmed *Head) (Accepted, error) {
	object, before, err := p.published(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if unconfirmed != nil && unconfirmed.samePublication(object.Value) {
		return Accepted{
			Revision: unconfirmed.Revision,
			Objects:  before.Document.Set().Len(),
		}, nil
	}
	if change.IfRevision != 0 && change.IfRevision != object.Value.Revision {
		return Accepted{}, revisionMismatch(change.IfRevision, object.Value.Revision)
	}
	document, faults := change.appliedTo(before.Document)
	if len(faults) > 0 {
		return Accepted{}, &RefusedError{
			Faults: faults,
		}
	}
	chunks, data, err := p.encodeChunks(document)
	if err != nil {
		return Accepted{}, err
	}
	accepted := Accepted{
		Revision: object.Value.Revision,
		Unchanged: object.Value.Revision > 0 && object.Value.Revision >= change.Above &&
			slices.Equal(chunks, object.Value.Chunks),
		Objects: document.Set().Len(),
	}
	if accepted.Unchanged {
		return accepted, nil
	}
	head := Head{
		Revision:       max(object.Value.Revision, change.Above) + 1,
		Chunks:         chunks,
		AcceptedMillis: change.AtMillis,
		By:             change.By,
	}
	accepted.Revision = head.Revision
	return accepted, p.commit(ctx, object, head, data)
}

// published reads the published head and its bundle; both are zero before the first
// change.
func (p *Publisher) published(ctx context.Context) (storer.Object[Head], Bundle, error) {
	object, err := p.heads.Get(ctx, HeadName)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Object[Head]{}, Bundle{}, nil
	}
	if err != nil {
		return storer.Object[Head]{}, Bundle{}, err
	}
	bundle, err := p.Ask(ctx, object.Value)
	return object, bundle, err
}

// commit writes the chunks, then the head, then removes the chunks that neither the new
// nor the previous head names.
func (p *Publisher) commit(ctx context.Context, previous storer.Object[Head], head Head, data [][]byte) error {
	for i, chunk := range head.Chunks {
		if _, err := p.store.Put(ctx, chunkPrefix+chunk, data[i], storer.Always()); err != nil {
			return markUncertain(err, head)
		}
	}
	condition := storer.Absent()
	if previous.Revision != 0 {
		condition = storer.AtRevision(previous.Revision)
	}
	if _, err := p.heads.Put(ctx, HeadName, head, condition); err != nil {
		return markUncertain(err, head)
	}
	p.removeUnusedChunks(ctx, previous.Value, head)
	return nil
}

// uncertainError is the error of a write that may have taken effect.
type uncertainError struct {
	// head is the head that was being written, or was to be written after its chunks.
	head Head
	err  error
}

// Error returns the store's error.
func (u *uncertainError) Error() string {
	return u.err.Error()
}

// Unwrap returns the store's error.
func (u *uncertainError) Unwrap() error {
	return u.err
}

// markUncertain returns err as it is if the write is known not to have taken effect, and
// otherwise wrapped in an uncertainError.
func markUncertain(err error, head Head) error {
	if storer.OutcomeKnown(err) {
		return err
	}
	return &uncertainError{
		head: head,
		err:  err,
	}
}

// samePublication reports whether two heads belong to the same publication.
func (h Head) samePublication(other Head) bool {
	return h.Revision == other.Revision && h.By == other.By &&
		h.AcceptedMillis == other.AcceptedMillis && slices.Equal(h.Chunks, other.Chunks)
}

// removeUnusedChunks removes the chunks that none of heads names. A chunk that it fails
// to remove is removed after a later change.
func (p *Publisher) removeUnusedChunks(ctx context.Context, heads ...Head) {
	listed, err := p.store.List(ctx, chunkPrefix)
	if err != nil {
		return
	}
	for _, object := range listed.Objects {
		name := strings.TrimPrefix(object.Name, chunkPrefix)
		named := slices.ContainsFunc(heads, func(head Head) bool {
			return slices.Contains(head.Chunks, name)
		})
		if !named {
			_ = p.store.Delete(ctx, object.Name, storer.AtRevision(object.Revision))
		}
	}
}

// encodeChunks encodes a document and splits it into chunks, named by their hashes.
func (p *Publisher) encodeChunks(document declarer.Document) (names []string, data [][]byte, err error) {
	encoded, err := p.documents.Encode(document)
	if err != nil {
		return nil, nil, err
	}
	for chunk := range slices.Chunk(encoded, chunkBytes) {
		names = append(names, hashOf(chunk))
		data = append(data, chunk)
	}
	return names, data, nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
