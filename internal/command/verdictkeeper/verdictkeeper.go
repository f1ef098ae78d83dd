// Package verdictkeeper keeps the verdicts on versions in the platform's store, so that they
// outlive the instances that have made them: one object for each service whose versions have
// been ordered. Which verdicts are kept is decided by package mover, and when they are written
// by the instances.
package verdictkeeper

import (
	"context"
	"errors"
	"strings"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/command/mover"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// Record is the encoding of the verdicts on a service's versions in the store.
type Record struct {
	Verdicts []RecordedVerdict
}

// RecordedVerdict is the encoding of one verdict. Era and Revision are the position of the
// store at which the version was known to be ordered.
type RecordedVerdict struct {
	Version  string
	State    mover.State
	Era      uint64
	Revision uint64
}

// Stored is the record of a service as the store has it. It is immutable; the zero value means
// that there is none.
type Stored struct {
	// Revision is the store's revision of the record, or 0 if there is none.
	Revision uint64
	// Verdicts are in the order of the versions.
	Verdicts []mover.Verdict
}

// Keeper reads and writes records. It is safe for concurrent use.
type Keeper struct {
	store  storer.Store
	prefix string
}

var codec = encoder.CBOR[Record]{}

// New returns a keeper of the records whose names in the store have a prefix.
func New(store storer.Store, prefix string) *Keeper {
	return &Keeper{
		store:  store,
		prefix: prefix,
	}
}

// List returns all records by the names of their services. An object that holds no record
// counts as an empty one, so that it is replaced by the next write.
func (k *Keeper) List(ctx context.Context) (map[string]Stored, error) {
	listed, err := k.store.List(ctx, k.prefix)
	if err != nil {
		return nil, err
	}
	records := make(map[string]Stored, len(listed.Objects))
	for _, object := range listed.Objects {
		service, found := strings.CutPrefix(object.Name, k.prefix)
		if found {
			records[service] = decode(service, object)
		}
	}
	return records, nil
}

// Read returns the record of a service, or the zero value if there is none.
func (k *Keeper) Read(ctx context.Context, service string) (Stored, error) {
	object, err := k.store.Get(ctx, k.prefix+service)
	if errors.Is(err, storer.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, err
	}
	return decode(service, object), nil
}

// Write replaces the record of a service by other verdicts. It returns storer.ErrConflict if the
// store has another record than the known one.
func (k *Keeper) Write(ctx context.Context, service string, known Stored, verdicts []mover.Verdict) (Stored, error) {
	data, err := codec.Encode(newRecord(verdicts))
	if err != nil {
		return Stored{}, err
	}
	condition := storer.Absent()
	if known.Revision != 0 {
		condition = storer.AtRevision(known.Revision)
	}
	written, err := k.store.Put(ctx, k.prefix+service, data, condition)
	if err != nil {
		return Stored{}, err
	}
	return Stored{
		Revision: written.Revision,
		Verdicts: verdicts,
	}, nil
}

// newRecord converts verdicts to their encoding.
func newRecord(verdicts []mover.Verdict) Record {
	record := Record{
		Verdicts: make([]RecordedVerdict, 0, len(verdicts)),
	}
	for _, verdict := range verdicts {
		record.Verdicts = append(record.Verdicts, RecordedVerdict{
			Version:  verdict.Version,
			State:    verdict.State,
			Era:      verdict.At.Era,
			Revision: verdict.At.Revision,
		})
	}
	return record
}

// decode returns the record that an object holds.
func decode(service string, object storer.Object[[]byte]) Stored {
	stored := Stored{
		Revision: object.Revision,
	}
	record, err := codec.Decode(object.Value)
	if err != nil {
		return stored
	}
	for _, entry := range record.Verdicts {
		stored.Verdicts = append(stored.Verdicts, mover.Verdict{
			VersionID: mover.VersionID{
				Service: service,
				Version: entry.Version,
			},
			State: entry.State,
			At: storer.Position{
				Era:      entry.Era,
				Revision: entry.Revision,
			},
		})
	}
	return stored
}
