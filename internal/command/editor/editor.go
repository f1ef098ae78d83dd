// Package editor applies the edits that operators make directly through the
// platform's API. It reads the edited objects below SpecPrefix and writes the outcome
// of each edit below StatusPrefix. It leaves checking and publishing to the command that
// it is given (package publisher).
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
	// SpecPrefix begins the names of edited objects, which consist of SpecPrefix,
	// kind, slash and name. The value is the object in JSON.
	SpecPrefix = "Specs/"
	// StatusPrefix begins the names of their statuses, which have the same form.
	StatusPrefix = "Status/"
	// pollInterval is the time between two checks for edits.
	pollInterval = time.Second
)

// State is the outcome of an edit.
type State string

// The outcomes of an edit.
const (
	Accepted State = "Accepted"
	Refused  State = "Refused"
)

// Status describes the outcome of the last edit of an object.
type Status struct {
	State State
	// Revision is the published revision that includes the edit; an edit that changes
	// nothing makes no new one. It is 0 if the edit was refused.
	Revision uint64
	// SpecRevision is the store's revision of the edit; 0 after a removal.
	SpecRevision uint64
	// Faults are the reasons for a refusal.
	Faults []checker.Fault `json:",omitempty"`
}

// Editor applies edits. It is for use by one goroutine.
type Editor struct {
	store    storer.Store
	statuses storer.Typed[Status]
	changes  handler.Command[publisher.Change, publisher.Accepted]
	// isResponsible reports whether this instance applies the edits. It should return
	// true at one instance of the deployment only. If it does at several, the
	// conditional writes of package publisher order their changes.
	isResponsible func() bool
}

// New returns an editor that sends its changes to a command. Run applies edits only
// while isResponsible reports true.
func New(store storer.Store, changes handler.Command[publisher.Change, publisher.Accepted], isResponsible func() bool) *Editor {
	return &Editor{
		store:         store,
		statuses:      storer.NewTyped(store, encoder.JSON[Status]{}),
		changes:       changes,
		isResponsible: isResponsible,
	}
}

// Run checks for edits and applies them at regular intervals until ctx ends.
func (e *Editor) Run(ctx context.Context) error {
	for retrier.Sleep(ctx, pollInterval) == nil {
		if e.isResponsible() {
			// The next check repeats what has failed.
			_ = e.ApplyPending(ctx)
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

// ApplyPending publishes the edits whose outcome has not been written, all in one change.
// If that change is refused, it publishes each edit as a separate change, so that an
// invalid edit does not hold up the others. It returns the first error; the edits
// without a written outcome stay pending.
func (e *Editor) ApplyPending(ctx context.Context) error {
	edits, err := e.pending(ctx)
	if err != nil || len(edits) == 0 {
		return err
	}
	if status, err := e.publish(ctx, edits...); err != nil || status.State == Accepted {
		return errors.Join(err, e.writeStatus(ctx, status, edits...))
	}
	for _, single := range edits {
		status, err := e.publish(ctx, single)
		if err == nil {
			err = e.writeStatus(ctx, status, single)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// pending returns the edits whose outcome has not been written.
func (e *Editor) pending(ctx context.Context) ([]edit, error) {
	specs, err := e.store.List(ctx, SpecPrefix)
	if err != nil {
		return nil, err
	}
	statuses, err := e.statuses.List(ctx, StatusPrefix)
	if err != nil {
		return nil, err
	}
	processed := map[string]uint64{}
	for _, status := range statuses.Objects {
		processed[strings.TrimPrefix(status.Name, StatusPrefix)] = status.Value.SpecRevision
	}
	var edits []edit
	for _, spec := range specs.Objects {
		name := strings.TrimPrefix(spec.Name, SpecPrefix)
		if processed[name] != spec.Revision {
			edits = append(edits, edit{
				reference: referenceOf(name),
				spec:      spec,
			})
		}
		delete(processed, name)
	}
	for _, status := range statuses.Objects {
		name := strings.TrimPrefix(status.Name, StatusPrefix)
		if processed[name] != 0 {
			edits = append(edits, edit{
				reference: referenceOf(name),
			})
		}
	}
	return edits, nil
}

// publish publishes edits as one change and returns their status. After an error they
// have none, and the next check publishes them again.
func (e *Editor) publish(ctx context.Context, edits ...edit) (Status, error) {
	change, faults := changeOf(edits)
	if len(faults) > 0 {
		return Status{
			State:  Refused,
			Faults: faults,
		}, nil
	}
	accepted, err := e.changes.Do(ctx, change)
	var refused *publisher.RefusedError
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

// writeStatus writes the outcome of edits. It deletes the status of a removed object
// once the removal is accepted.
func (e *Editor) writeStatus(ctx context.Context, status Status, edits ...edit) error {
	if status.State == "" {
		// The change failed, so there is no outcome to write.
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
