package explainer

import (
	"fmt"

	"github.com/hemlockport/hemlockport/pkg/command/scheduler"
)

// explainQueue explains a request that the queue of its service or the admission level has
// refused.
func explainQueue(end Line) string {
	subject := fmt.Sprintf("at %s, no upstream of %s had a free slot for a request of priority %d", end.Instance, end.Service, end.Priority)
	switch scheduler.Cause(end.Queue) {
	case scheduler.TooLate:
		if end.ExpectedMillis == 0 {
			return subject + ", and none was expected; it was refused at once."
		}
		return fmt.Sprintf("%s, and one was expected %d ms after its arrival, behind %d others, which was too late; it was refused at once.",
			subject, end.ExpectedMillis, end.Ahead)
	case scheduler.QueueFull:
		return subject + ", and the queue was full of requests that go first; it was refused at once."
	case scheduler.Displaced:
		return fmt.Sprintf("%s; it waited %d ms, until a request that goes first took its place in the full queue.", subject, end.WaitedMillis)
	case scheduler.WaitEnded:
		return fmt.Sprintf("%s within the %d ms that it could wait, behind %d others.", subject, end.WaitedMillis, end.Ahead)
	case scheduler.OverShare:
		return fmt.Sprintf("%s was overloaded, and %s asked for more than its fair share of what %s saw.", end.Service, end.Team, end.Instance)
	case scheduler.BelowLevel:
		return fmt.Sprintf("%s was overloaded, and the admission level let through %.2f of the requests of priority %d.", end.Service, end.LevelShare, end.Priority)
	default:
		return fmt.Sprintf("%s: %s.", subject, end.Detail)
	}
}
