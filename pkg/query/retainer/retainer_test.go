package retainer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/query/retainer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// upstream is a value with an identity; a leaving one stays so.
type upstream struct {
	start   string
	leaving bool
}

// upstreamPolicy is the policy of upstreams. anonymous takes the identity away.
type upstreamPolicy struct {
	anonymous bool
}

func (p upstreamPolicy) Identity(value upstream) string {
	if p.anonymous {
		return ""
	}
	return value.start
}

func (upstreamPolicy) Merge(known, listed upstream) upstream {
	listed.leaving = listed.leaving || known.leaving
	return listed
}

const testKeepMillis = 2000

// view is a step of a test: a view, or with era 0 only the passing of time.
type view struct {
	era uint64
	// after is the time since the step before, in milliseconds.
	after int
	// objects are parted by spaces: name, start, "!" if leaving, "@" and the revision.
	objects string
}

// parse returns the entries of a view.
func (v view) parse(t *testing.T) []retainer.Entry[upstream] {
	t.Helper()
	var entries []retainer.Entry[upstream]
	for _, text := range strings.Fields(v.objects) {
		var entry retainer.Entry[upstream]
		described, _, _ := strings.Cut(text, "@")
		if _, err := fmt.Sscanf(text[len(described)+1:], "%d", &entry.Revision); err != nil {
			t.Fatal(err)
		}
		entry.Name = described[:1]
		entry.Value.start = described[1:2]
		entry.Value.leaving = strings.HasSuffix(described, "!")
		entries = append(entries, entry)
	}
	return entries
}

// describe returns the entries that count; a kept one has a "+".
func describe(entries []retainer.Entry[upstream]) string {
	var texts []string
	for _, entry := range entries {
		text := entry.Name + entry.Value.start
		if entry.Value.leaving {
			text += "!"
		}
		if entry.Kept {
			text += "+"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, " ")
}

// TestCopyNeitherLosesNorRevivesObjects checks what counts after views before and after a return.
func TestCopyNeitherLosesNorRevivesObjects(t *testing.T) {
	cases := []struct {
		name   string
		policy upstreamPolicy
		views  []view
		want   string
	}{
		{
			name: "the copy lacks an object",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     2,
					objects: "a1@3",
				},
			},
			want: "a1 b1+",
		},
		{
			name: "the copy lacks an object without an identity",
			policy: upstreamPolicy{
				anonymous: true,
			},
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     2,
					objects: "",
				},
			},
			want: "a1+ b1+",
		},
		{
			name: "the copy lacks an object that nobody writes again",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     2,
					objects: "a1@3",
				},
				{
					after: testKeepMillis,
				},
			},
			want: "a1",
		},
		{
			name: "an object is written again and then removed",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     2,
					objects: "a1@3",
				},
				{
					era:     2,
					after:   100,
					objects: "a1@3 b1@6",
				},
				{
					era:     2,
					after:   100,
					objects: "a1@3",
				},
			},
			want: "a1",
		},
		{
			name: "the copy lacks an object at two returns in a row",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     2,
					objects: "a1@3",
				},
				{
					era:     3,
					after:   1500,
					objects: "a1@3",
				},
				{
					after: 1500,
				},
			},
			want: "a1 b1+",
		},
		{
			name: "removal within an era",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     1,
					objects: "a1@3",
				},
			},
			want: "a1",
		},
		{
			name: "the copy has an object again that was removed",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@5",
				},
				{
					era:     1,
					objects: "a1@3",
				},
				{
					era:     2,
					objects: "a1@3 b1@5",
				},
			},
			want: "a1",
		},
		{
			name: "the copy has an earlier state of an object that was removed",
			views: []view{
				{
					era:     1,
					objects: "b1@5",
				},
				{
					era:     1,
					objects: "b1!@8",
				},
				{
					era:     1,
					objects: "",
				},
				{
					era:     2,
					objects: "b1@5",
				},
			},
			want: "",
		},
		{
			name: "an object that was removed is written again at a later revision",
			views: []view{
				{
					era:     1,
					objects: "b1@5",
				},
				{
					era:     1,
					objects: "",
				},
				{
					era:     2,
					objects: "b1@7",
				},
			},
			want: "b1",
		},
		{
			name: "an object that was removed is written after it was listed",
			views: []view{
				{
					era:     1,
					objects: "b1@9",
				},
				{
					era:     1,
					objects: "",
				},
				{
					era:     2,
					objects: "b1@5",
				},
				{
					era:     2,
					objects: "b1@6",
				},
			},
			want: "b1",
		},
		{
			name: "an object that was removed is written below its last revision",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1@9",
				},
				{
					era:     1,
					objects: "a1@3",
				},
				{
					era:     2,
					objects: "a1@3",
				},
				{
					era:     2,
					after:   100,
					objects: "a1@3 b1@6",
				},
			},
			want: "a1 b1",
		},
		{
			name: "an object that left is written as ready below its last revision",
			views: []view{
				{
					era:     1,
					objects: "a1@3 b1!@9",
				},
				{
					era:     2,
					objects: "a1@3",
				},
				{
					era:     2,
					after:   100,
					objects: "a1@3 b1@6",
				},
			},
			want: "a1 b1",
		},
		{
			name: "an object that was removed stays in the list",
			views: []view{
				{
					era:     1,
					objects: "b1@5",
				},
				{
					era:     1,
					objects: "",
				},
				{
					era:     2,
					objects: "b1@5",
				},
				{
					after: 11_000,
				},
			},
			want: "b1",
		},
		{
			name: "the copy has an object without an identity again",
			policy: upstreamPolicy{
				anonymous: true,
			},
			views: []view{
				{
					era:     1,
					objects: "b1@5",
				},
				{
					era:     1,
					objects: "",
				},
				{
					era:     2,
					objects: "b1@5",
				},
			},
			want: "b1",
		},
		{
			name: "the copy has the incarnation before the known one",
			views: []view{
				{
					era:     1,
					objects: "b1@5",
				},
				{
					era:     1,
					objects: "b2@8",
				},
				{
					era:     2,
					objects: "b1@5",
				},
			},
			want: "b2+",
		},
		{
			name: "the known incarnation is written again over the one before",
			views: []view{
				{
					era:     1,
					objects: "b1@5",
				},
				{
					era:     1,
					objects: "b2@8",
				},
				{
					era:     2,
					objects: "b1@5",
				},
				{
					era:     2,
					objects: "b2@7",
				},
			},
			want: "b2",
		},
		{
			name: "an incarnation that nobody has seen",
			views: []view{
				{
					era:     1,
					objects: "b1@9",
				},
				{
					era:     2,
					objects: "b2@7",
				},
			},
			want: "b2",
		},
		{
			name: "the copy has the state before the object left",
			views: []view{
				{
					era:     1,
					objects: "b1!@9",
				},
				{
					era:     2,
					objects: "b1@5",
				},
				{
					after: 9_900,
				},
			},
			want: "b1!",
		},
		{
			name: "the copy has the state before the object left, and nobody writes it again",
			views: []view{
				{
					era:     1,
					objects: "b1!@9",
				},
				{
					era:     2,
					objects: "b1@5",
				},
				{
					after: 10_000,
				},
			},
			want: "b1",
		},
		{
			name: "an object leaves after the return at a revision below the known one",
			views: []view{
				{
					era:     1,
					objects: "b1@9",
				},
				{
					era:     2,
					objects: "b1!@7",
				},
			},
			want: "b1!",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			r := retainer.New[upstream](c.policy, testKeepMillis)
			for _, step := range c.views {
				now = now.Add(time.Duration(step.after) * time.Millisecond)
				if step.era == 0 {
					if r.IsDue(now) {
						r = r.WithTime(now)
					}
					continue
				}
				r = r.WithView(storer.Position{
					Era:      step.era,
					Revision: 100,
				}, step.parse(t), now)
			}
			if got := describe(r.Counted()); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
