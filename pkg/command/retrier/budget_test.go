package retrier_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
)

// TestRetriesOfAFleetStayInTheBudget guards against retries that grow with the number of instances, or with the number of their restarts: each start had a full budget.
func TestRetriesOfAFleetStayInTheBudget(t *testing.T) {
	const (
		// ownRatio and ownReserve are the settings of each instance, ratio and slack the bounds for
		// all of them together.
		ownRatio   = 0.1
		ownReserve = 4
		ratio      = 0.2
	)
	cases := []struct {
		name      string
		instances int
		slack     int
		// starts is how often each instance is started, and requests how many it gets in each
		// start.
		starts   int
		requests int
	}{
		{
			name:      "12 instances",
			instances: 12,
			slack:     64,
			starts:    1,
			requests:  40,
		},
		{
			name:      "12 instances, started five times",
			instances: 12,
			slack:     64,
			starts:    5,
			requests:  7,
		},
		{
			name:      "102 instances with few requests",
			instances: 102,
			slack:     269,
			starts:    1,
			requests:  10,
		},
		{
			name:      "102 instances, started five times",
			instances: 102,
			slack:     269,
			starts:    5,
			requests:  7,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			part := float64(c.slack) / float64(c.instances)
			retries := 0
			for start := range c.starts {
				for range c.instances {
					retries += failAll(newSharedBudgets(ownRatio, ownReserve, part, start > 0), c.requests)
				}
			}
			requests := c.instances * c.starts * c.requests
			if most := int(ratio*float64(requests)) + c.slack; retries > most {
				t.Errorf("got %d retries of %d requests, want at most %d", retries, requests, most)
			}
		})
	}
}

// newSharedBudgets returns the budgets of an instance that holds a part of the reserve of all. One
// that is restarted begins without retries.
func newSharedBudgets(ratio float64, reserve int, part float64, restarted bool) *retrier.Budgets {
	budgets := retrier.NewBudgets(ratio, reserve)
	budgets.SetReserve(min(float64(reserve), part))
	if restarted {
		budgets.Empty()
	}
	return budgets
}

// failAll lets some requests fail, and returns how many of them may be sent again.
func failAll(budgets *retrier.Budgets, requests int) int {
	retries := 0
	for range requests {
		budget := budgets.For("shop")
		budget.Earn()
		if budget.Spend() {
			retries++
		}
	}
	return retries
}

// TestLoweredReserveHolds guards against budgets that keep what an earlier reserve allowed, and against one that is created while the reserve changes.
func TestLoweredReserveHolds(t *testing.T) {
	budgets := retrier.NewBudgets(0, 4)
	budgets.For("shop")
	budgets.SetReserve(1.5)
	for _, service := range []string{"shop", "other"} {
		budget := budgets.For(service)
		budget.Earn()
		if !budget.Spend() || budget.Spend() {
			t.Errorf("%s: got no retry or more than one of a reserve of 1.5", service)
		}
	}
}
