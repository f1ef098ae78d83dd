package configurer

import (
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// Queue configures the queues of services, in which requests wait that find no upstream with
// room.
type Queue struct {
	// On lets requests wait. Without it, the default, they are refused at once.
	On bool
	// Longest is how many requests of one service wait at most. 1 to 10000; 64 by default.
	Longest int
	// WaitShare is how long a request waits at most, as a fraction of the time from its arrival
	// to its objective, or to its deadline if its route has no objective. 0.01 to 1; 0.1 by
	// default.
	WaitShare float64
	// Level lets the instances agree on an admission level for each service, below which
	// requests are refused at once. It has an effect only with On. False by default.
	Level bool
}

// maxQueueLength is the largest value of Queue.Longest.
const maxQueueLength = 10_000

// defaultQueue returns the default values of the table Queue.
func defaultQueue() Queue {
	return Queue{
		Longest:   64,
		WaitShare: 0.1,
	}
}

// Limits returns the limits of each queue.
func (q Queue) Limits() scheduler.Limits {
	return scheduler.Limits{
		Longest:   q.Longest,
		WaitShare: q.WaitShare,
	}
}

func (v *validation) checkQueue(queue Queue) {
	longest := queue.Longest
	v.require(longest >= 1 && longest <= maxQueueLength, "Queue.Longest", fmt.Sprint(longest), "1 to 10000")
	share := queue.WaitShare
	v.require(share >= 0.01 && share <= 1, "Queue.WaitShare", fmt.Sprint(share), "0.01 to 1")
}
