package sharer_test

import (
	"fmt"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// Two instances share a limit that one of them owns. The other one borrows from it.
// Function calls stand in for the messages between them.
func ExampleLimiter() {
	start := time.Now()
	owner := sharer.NewLimiter("quilters", sharer.NewBorrower("instance-a"), start)
	owner.Account.SetOwned(limiter.Limit{}.WithRate(5).WithBurst(3), start)
	owner.Account.Confirm(start)
	borrower := sharer.NewLimiter("quilters", sharer.NewBorrower("instance-b"), start)
	borrower.SetHolders([]string{"instance-a"}, 5)

	now := start.Add(time.Minute)
	_, ok := borrower.Take(now)
	fmt.Println("at once:", ok)

	borrower.Enqueue(now, now.Add(sharer.MaxWait), func(admitted bool) {
		fmt.Println("after a loan:", admitted)
	})
	for _, directed := range borrower.Poll(now).Asks {
		owner.Lend(directed.Ask, now, func(grant sharer.Grant) {
			borrower.Receive(directed.Holder, grant, now)
		})
	}
	fmt.Println("the owner's burst:", owner.Bucket.Limit().Burst)
	for _, settlement := range borrower.Poll(now).Settlements {
		owner.Account.Settle(settlement.Serial, settlement.Unused, now)
	}
	fmt.Println("after the settlement:", owner.Bucket.Limit().Burst)
	// Output:
	// at once: false
	// after a loan: true
	// the owner's burst: 2
	// after the settlement: 3
}
