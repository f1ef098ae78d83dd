package steerer

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestIncarnationThatLeftIsNotNewWhenACopyListsIt checks for which incarnations look-ups wait for
// a link.
func TestIncarnationThatLeftIsNotNewWhenACopyListsIt(t *testing.T) {
	cases := []struct {
		name  string
		lists [][]string
		// grace reports whether the incarnation "a" counts as alive without a link.
		grace bool
	}{
		{
			name:  "listed first",
			lists: [][]string{{"b"}, {"a", "b"}},
			grace: true,
		},
		{
			name:  "listed all the time",
			lists: [][]string{{"a"}, {"a", "b"}},
			grace: true,
		},
		{
			name:  "listed again",
			lists: [][]string{{"a"}, {"b"}, {"a", "b"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Steerer{
				graceFrom:     map[string]time.Time{},
				departedUntil: map[string]time.Time{},
			}
			for i, incarnations := range c.lists {
				var members []registrar.Member
				for _, incarnation := range incarnations {
					members = append(members, registrar.Member{
						Incarnation: incarnation,
						Name:        incarnation,
					})
				}
				s.storeRoster(registrar.NewRoster(storer.Position{
					Revision: uint64(i) + 1,
				}, members...))
			}
			if grace := time.Since(s.graceFrom["a"]) < linkTimeout; grace != c.grace {
				t.Errorf("got grace %t, want %t", grace, c.grace)
			}
			if time.Since(s.graceFrom["a"]) > removeAfter {
				t.Error("the entry would be removed at once")
			}
		})
	}
}
