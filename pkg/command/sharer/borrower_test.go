package sharer_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// TestLimitersCreatedAgainBorrowAnew checks that the units which two successive limiters of one
// instance get are all taken out of the lender's stock. It guards against an ask of the second
// limiter that the lender answers from the loan of the first one, as happened for a limit that
// was lifted and restored within the term of a loan.
func TestLimitersCreatedAgainBorrowAnew(t *testing.T) {
	start := time.Now()
	lender := sharer.NewLimiter("team", sharer.NewBorrower("entry-1/1"), start)
	lender.Account.SetOwned(limiter.Limit{}.WithRate(1).WithBurst(8), start)
	lender.Account.Confirm(start)
	now := start.Add(time.Minute)
	borrower := sharer.NewBorrower("entry-2/1")
	granted := 0
	for range 3 {
		borrowing := sharer.NewLimiter("team", borrower, now)
		borrowing.SetHolders([]string{"entry-1/1"}, 10)
		for range 4 {
			borrowing.Enqueue(now, now.Add(sharer.MaxWait), func(admitted bool) {
				if admitted {
					granted++
				}
			})
		}
		for range 4 {
			for _, directed := range borrowing.Poll(now).Asks {
				lender.Lend(directed.Ask, now, func(grant sharer.Grant) {
					borrowing.Receive(directed.Holder, grant, now)
				})
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if granted < 4 || granted > 8 {
		t.Fatalf("got %d requests admitted, want 4 to 8, the burst of the lender", granted)
	}
}
