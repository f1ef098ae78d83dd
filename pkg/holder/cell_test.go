package holder_test

import (
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/holder"
)

// policy is an immutable value with a revision.
type policy struct {
	revision uint64
	limit    int
}

// RevisionNumber returns the revision.
func (p policy) RevisionNumber() uint64 {
	return p.revision
}

func ExampleCell() {
	cell := holder.New[policy]()
	for _, next := range []policy{
		{
			revision: 2,
			limit:    20,
		},
		{
			revision: 1,
			limit:    10,
		},
	} {
		fmt.Println(next.revision, "advanced:", cell.Advance(next))
	}
	fmt.Println("in force:", cell.Load().limit)
	// Output:
	// 2 advanced: true
	// 1 advanced: false
	// in force: 20
}

// TestRevisionNeverDecreases checks that an older value never replaces a newer one when
// several goroutines call Advance at once: a writer that compared revisions before
// another one's write must compare again.
func TestRevisionNeverDecreases(t *testing.T) {
	const writers, perWriter = 4, 5000
	cell := holder.New[policy]()
	var group errgroup.Group
	for writer := range uint64(writers) {
		group.Go(func() error {
			last := uint64(0)
			for i := range uint64(perWriter) {
				cell.Advance(policy{
					revision: 1 + (i*7+writer)%perWriter,
				})
				if now := cell.Revision(); now < last {
					t.Errorf("got revision %d, want at least the earlier %d", now, last)
				} else {
					last = now
				}
			}
			return nil
		})
	}
	// The goroutines return no error.
	_ = group.Wait()
	if cell.Revision() != perWriter {
		t.Fatalf("got revision %d, want %d", cell.Revision(), perWriter)
	}
}
