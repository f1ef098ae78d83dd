// Package editor takes over what operators edit directly through the platform's
// API: objects below SpecPrefix, whose fate it writes below StatusPrefix.
package editor

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// SpecPrefix starts the names of edited objects: SpecPrefix, kind, slash, name.
	// The value is the object in JSON.
	SpecPrefix = "Specs/"
	// StatusPrefix starts the names of what became of them, in the same form.
	StatusPrefix = "Status/"
	// interval is the time between two looks.
	interval = time.Second
)

// State says what became of an edit.
type State string

// The states.
const (
	Accepted State = "Accepted"
	Refused  State = "Refused"
)

// Status is what became of the last edit of an object.
type Status struct {
	State State
	// Revision is the configuration that took the edit in, or that stays in force.
	Revision uint64
	// SpecRevision is the store's revision of the edit; 0 after a removal.
	SpecRevision uint64
	// Faults are why it was refused.
	Faults []checker.Fault `json:",omitempty"`
}

// Editor carries out edits. Used by one goroutine.
type Editor struct {
	store    storer.Store
	statuses storer.Typed[Status]
	changes  handler.Command[publisher.Change, publisher.Accepted]
	// mine says whether it falls to this instance.
	mine func() bool
}

// New returns an editor that hands changes to a command.
func New(store storer.Store, changes handler.Command[publisher.Change, publisher.Accepted], mine func() bool) *Editor {
	return &Editor{
		store:    store,
		statuses: storer.NewTyped(store, encoder.JSON[Status]{}),
		changes:  changes,
		mine:     mine,
	}
}

// Run looks for edits again and again until ctx ends.
func (e *Editor) Run(ctx context.Context) error {
	for retrier.Sleep(ctx, interval) == nil {
		if e.mine() {
			// What fails is done again at the next look.
			_ = e.Look(ctx)
		}
	}
	return nil
}

// edit is one object that was edited or removed since its status was written.
type edit struct {
	reference declarer.Reference
	// spec is zero for a removal.
	spec storer.Object[[]byte]
}

// Look carries out the edits since the last look. All are tried as one change; if
// that is refused, each is tried by itself, so that a bad one holds up no other.
func (e *Editor) Look(ctx context.Context) error {
	edits, err := e.pending(ctx)
	if err != nil || len(edits) == 0 {
		return err
	}
	if status, err := e.try(ctx, edits...); err != nil || status.State == Accepted {
		return errors.Join(err, e.write(ctx, status, edits...))
	}
	for _, single := range edits {
		status, err := e.try(ctx, single)
		if err == nil {
			err = e.write(ctx, status, single)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// pending returns the edits whose fate is not written yet.
func (e *Editor) pending(ctx context.Context) ([]edit, error) {
	specs, err := e.store.List(ctx, SpecPrefix)
	if err != nil {
		return nil, err
	}
	known, err := e.statuses.List(ctx, StatusPrefix)
	if err != nil {
		return nil, err
	}
	done := map[string]uint64{}
	for _, status := range known.Objects {
		done[strings.TrimPrefix(status.Name, StatusPrefix)] = status.Value.SpecRevision
	}
	var edits []edit
	for _, spec := range specs.Objects {
		name := strings.TrimPrefix(spec.Name, SpecPrefix)
		if done[name] != spec.Revision {
			edits = append(edits, edit{
				reference: referenceOf(name),
				spec:      spec,
			})
		}
		delete(done, name)
	}
	for _, status := range known.Objects {
		name := strings.TrimPrefix(status.Name, StatusPrefix)
		if done[name] != 0 {
			edits = append(edits, edit{
				reference: referenceOf(name),
			})
		}
	}
	return edits, nil
}

// try hands edits over as one change. Its error says that nothing is known.
func (e *Editor) try(ctx context.Context, edits ...edit) (Status, error) {
	change, faults := changeOf(edits)
	if len(faults) > 0 {
		return Status{
			State:  Refused,
			Faults: faults,
		}, nil
	}
	accepted, err := e.changes.Do(ctx, change)
	var refused *publisher.Refused
	switch {
	case errors.As(err, &refused):
		return Status{
			State:  Refused,
			Faults: refused.Faults,
		}, nil
	case err != nil:
		return Status{}, err
	default:
		return Status{
			State:    Accepted,
			Revision: accepted.Revision,
		}, nil
	}
}

// write writes the fate of edits. The status of a removed object goes with it
// once the removal is accepted.
func (e *Editor) write(ctx context.Context, status Status, edits ...edit) error {
	if status.State == "" {
		return nil
	}
	for _, edit := range edits {
		name := StatusPrefix + string(edit.reference.Kind) + "/" + edit.reference.Name
		status.SpecRevision = edit.spec.Revision
		var err error
		if edit.spec.Revision == 0 && status.State == Accepted {
			err = e.statuses.Delete(ctx, name, storer.Always())
		} else {
			_, err = e.statuses.Put(ctx, name, status, storer.Always())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func referenceOf(name string) declarer.Reference {
	kind, object, _ := strings.Cut(name, "/")
	return declarer.Reference{
		Kind: declarer.Kind(kind),
		Name: object,
	}
}
