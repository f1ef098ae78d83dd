// Package publisher puts a checked set in force through a store: immutable
// chunks first, then one head that moves by conditional update.
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
	// chunkBytes is the size of a chunk, in bytes; below storer.MaxValueBytes.
	chunkBytes = 900_000
	// attempts is how often a publication is begun anew after a conflict or a lost
	// answer.
	attempts = 8
)

// Head names the configuration in force.
type Head struct {
	// Revision grows by one with each configuration; never zero.
	Revision uint64
	// Chunks are the hashes of the parts of the encoded document, in order.
	Chunks []string
	// AcceptedMillis is the instant of acceptance, in milliseconds since the Unix
	// epoch.
	AcceptedMillis int64
	// By names who asked for it.
	By string
}

// Bundle is a head and the document that it names.
type Bundle struct {
	Head     Head
	Document declarer.Document
}

// Change is what an operator asks for.
type Change struct {
	// Document holds the objects to add or replace.
	Document declarer.Document
	// Remove names the objects to remove.
	Remove []declarer.Reference
	// Withdraw names the keys to withdraw.
	Withdraw []string
	// Prune removes every object that Document does not hold.
	Prune bool
	// IfRevision, if not zero, refuses the change unless that revision is in force.
	IfRevision uint64
	// By names who asks.
	By string
	// Above is a revision that is in force somewhere. The accepted one is higher,
	// also if the store has lost what it held.
	Above uint64
	// AtMillis is the instant of asking, in milliseconds since the Unix epoch.
	AtMillis int64
}

// Accepted is what came of a change.
type Accepted struct {
	// Revision is in force.
	Revision uint64
	// Unchanged says that the set already was as asked for.
	Unchanged bool
	// Objects is how many objects the set holds.
	Objects int
}

// Refused is the error of a change that does not fit. Nothing has changed.
type Refused struct {
	// Faults is never empty.
	Faults []checker.Fault
}

// Error lists all faults.
func (r *Refused) Error() string {
	lines := make([]string, 0, len(r.Faults))
	for _, fault := range r.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// The errors of a change that nothing is wrong with in itself.
var (
	// ErrRaced means that other changes kept coming first.
	ErrRaced = errors.New("other changes keep coming first; nothing has changed, try again")
	// ErrInDoubt means that the store stopped answering during the change.
	ErrInDoubt = errors.New("the store stopped answering; the change may have been accepted, read it back")
)

// Publisher is the command that puts changes in force, and the query that reads
// what is. Any number may run at once: the head's conditional update orders them.
type Publisher struct {
	heads     storer.Typed[Head]
	store     storer.Store
	documents handler.Codec[declarer.Document]
}

// New returns a publisher over a store.
func New(store storer.Store, heads handler.Codec[Head], documents handler.Codec[declarer.Document]) *Publisher {
	return &Publisher{
		heads:     storer.NewTyped(store, heads),
		store:     store,
		documents: documents,
	}
}

var _ handler.Command[Change, Accepted] = (*Publisher)(nil)

// Do applies a change to the set in force, checks the whole, and publishes it.
// Its error is a *Refused, ErrRaced, ErrInDoubt or a *storer.Error.
func (p *Publisher) Do(ctx context.Context, change Change) (Accepted, error) {
	// unsure is the last head whose write may have taken effect, or nil.
	var unsure *Head
	for range attempts {
		accepted, err := p.try(ctx, change, unsure)
		var lost *lostAnswer
		switch {
		case err == nil:
			return accepted, nil
		case errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound):
			// Another change came between. Begin with what it left.
		case errors.As(err, &lost):
			unsure = &lost.head
		case unsure != nil:
			return Accepted{}, errors.Join(ErrInDoubt, err)
		default:
			return Accepted{}, err
		}
	}
	if unsure != nil {
		return Accepted{}, ErrInDoubt
	}
	return Accepted{}, ErrRaced
}

// Ask reads the bundle that a head names.
func (p *Publisher) Ask(ctx context.Context, head Head) (Bundle, error) {
	var data []byte
	for _, chunk := range head.Chunks {
		object, err := p.store.Get(ctx, chunkPrefix+chunk)
		if err != nil {
			return Bundle{}, err
		}
		if hashOf(object.Value) != chunk {
			return Bundle{}, fmt.Errorf("chunk %s holds other bytes", chunk)
		}
		data = append(data, object.Value...)
	}
	document, err := p.documents.Decode(data)
	return Bundle{
		Head:     head,
		Document: document,
	}, err
}

// try runs a change once, from the head as it stands. If that is the head of an
// earlier try whose answer was lost, the change is in force already.
func (p *Publisher) try(ctx context.Context, change Change, unsure *Head) (Accepted, error) {
	object, before, err := p.inForce(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if unsure != nil && unsure.is(object.Value) {
		return Accepted{
			Revision: unsure.Revision,
			Objects:  before.Document.Set().Len(),
		}, nil
	}
	if change.IfRevision != 0 && change.IfRevision != object.Value.Revision {
		return Accepted{}, staleRevision(change.IfRevision, object.Value.Revision)
	}
	document, faults := change.apply(before.Document)
	if len(faults) > 0 {
		return Accepted{}, &Refused{
			Faults: faults,
		}
	}
	chunks, data, err := p.cut(document)
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
	return accepted, p.move(ctx, object, head, data)
}

// inForce reads the head and its bundle; both are empty before the first change.
func (p *Publisher) inForce(ctx context.Context) (storer.Object[Head], Bundle, error) {
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

// move writes the chunks, then the head, then removes the chunks that neither
// the new nor the old head names.
func (p *Publisher) move(ctx context.Context, from storer.Object[Head], head Head, data [][]byte) error {
	for i, chunk := range head.Chunks {
		if _, err := p.store.Put(ctx, chunkPrefix+chunk, data[i], storer.Always()); err != nil {
			return outcome(err, head)
		}
	}
	condition := storer.Absent()
	if from.Revision != 0 {
		condition = storer.At(from.Revision)
	}
	if _, err := p.heads.Put(ctx, HeadName, head, condition); err != nil {
		return outcome(err, head)
	}
	p.clean(ctx, from.Value, head)
	return nil
}

// lostAnswer is the error of a write that may have taken effect.
type lostAnswer struct {
	// head is the head that was, or was about to be, written.
	head Head
	err  error
}

// Error returns the store's error.
func (l *lostAnswer) Error() string {
	return l.err.Error()
}

// Unwrap returns the store's error.
func (l *lostAnswer) Unwrap() error {
	return l.err
}

// outcome tells a write that may have taken effect from one that has not.
func outcome(err error, head Head) error {
	if storer.Settled(err) {
		return err
	}
	return &lostAnswer{
		head: head,
		err:  err,
	}
}

// is says whether two heads are of the same publication.
func (h Head) is(other Head) bool {
	return h.Revision == other.Revision && h.By == other.By &&
		h.AcceptedMillis == other.AcceptedMillis && slices.Equal(h.Chunks, other.Chunks)
}

// clean removes chunks that are no longer named. A chunk that it fails to remove
// is removed after a later change.
func (p *Publisher) clean(ctx context.Context, heads ...Head) {
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
			_ = p.store.Delete(ctx, object.Name, storer.At(object.Revision))
		}
	}
}

// cut encodes a document and cuts it into chunks, named by their hashes.
func (p *Publisher) cut(document declarer.Document) (names []string, data [][]byte, err error) {
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
