package editor_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/internal/command/editor"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestEditsAreAppliedAndReported edits objects in the store and checks the status of
// each edit and the published configuration.
func TestEditsAreAppliedAndReported(t *testing.T) {
	const team = `{"Name":"a","RatePerSecond":5,"Burst":2}`
	steps := []struct {
		name string
		// put holds the values to write, by name below SpecPrefix. An empty value removes
		// the object.
		put map[string]string
		// state holds the state of each status afterwards; empty for a deleted status.
		state map[string]editor.State
		// teams is the number of teams in the published configuration afterwards, and
		// revision is its revision.
		teams    int
		revision uint64
	}{
		{
			name:     "a new team",
			put:      map[string]string{"Team/a": team},
			state:    map[string]editor.State{"Team/a": editor.Accepted},
			teams:    1,
			revision: 1,
		},
		{
			name:     "no edit",
			state:    map[string]editor.State{"Team/a": editor.Accepted},
			teams:    1,
			revision: 1,
		},
		{
			name: "invalid edits do not hold up a valid one",
			put: map[string]string{
				"Team/b":   `{"Name":"b","RatePerSecond":0,"Burst":2}`,
				"Team/c":   `{"Name":"c","RatePerSecond":1,"Burst":2}`,
				"Team/d":   `{"Name":"other"}`,
				"Team/e":   `{"Nam`,
				"Teapot/f": `{}`,
			},
			state: map[string]editor.State{
				"Team/a":   editor.Accepted,
				"Team/b":   editor.Refused,
				"Team/c":   editor.Accepted,
				"Team/d":   editor.Refused,
				"Team/e":   editor.Refused,
				"Teapot/f": editor.Refused,
			},
			teams:    2,
			revision: 2,
		},
		{
			name: "a corrected team and a removed one",
			put: map[string]string{
				"Team/b": `{"Name":"b","RatePerSecond":1,"Burst":2}`,
				"Team/a": "",
			},
			state: map[string]editor.State{
				"Team/a": "",
				"Team/b": editor.Accepted,
			},
			teams:    2,
			revision: 3,
		},
	}
	store := memstorer.New()
	publish := publisher.New(store, encoder.CBOR[publisher.Head]{}, encoder.CBOR[declarer.Document]{})
	subject := editor.New(store, publish, func() bool { return true })
	statuses := storer.NewTyped(store, encoder.JSON[editor.Status]{})
	for _, step := range steps {
		for name, value := range step.put {
			putSpec(t, store, editor.SpecPrefix+name, value)
		}
		if err := subject.ApplyPending(t.Context()); err != nil {
			t.Fatalf("%s: apply pending edits: %v", step.name, err)
		}
		for name, state := range step.state {
			// A deleted status reads as the zero status.
			status, _ := statuses.Get(t.Context(), editor.StatusPrefix+name)
			if status.Value.State != state || (state == editor.Refused) != (len(status.Value.Faults) > 0) {
				t.Errorf("%s: %s: got status %+v, want state %q with faults only if refused", step.name, name, status.Value, state)
			}
		}
		head, err := storer.NewTyped(store, encoder.CBOR[publisher.Head]{}).Get(t.Context(), publisher.HeadName)
		if err != nil {
			t.Fatal(err)
		}
		bundle, err := publish.Ask(t.Context(), head.Value)
		if err != nil || len(bundle.Document.Team) != step.teams || head.Value.Revision != step.revision {
			t.Errorf("%s: got revision %d with %d teams (error %v), want revision %d with %d teams",
				step.name, head.Value.Revision, len(bundle.Document.Team), err, step.revision, step.teams)
		}
	}
}

func putSpec(t *testing.T, store storer.Store, name, value string) {
	t.Helper()
	var err error
	if value == "" {
		err = store.Delete(t.Context(), name, storer.Always())
	} else {
		_, err = store.Put(t.Context(), name, []byte(value), storer.Always())
	}
	if err != nil {
		t.Fatal(err)
	}
}
