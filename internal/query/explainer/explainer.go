// Package explainer says from the logs of several processes what happened to one
// request, what the instances believed then, and why the request failed.
package explainer

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// Question asks about one request.
type Question struct {
	Request string
	Logs    []Log
}

// Belief is something that an instance had last been told of before a request ended.
type Belief struct {
	Instance string
	// Message is that of the line that told it, and Revision what it was complete up to.
	Message  string
	Revision uint64
	// Subject names what it is about, such as a peer; it may be empty.
	Subject string
	// AgeMillis is how long before the end of the request it was told, in milliseconds.
	AgeMillis int64
}

// Explanation is what the logs say of a request.
type Explanation struct {
	Request string
	// Found says that a log tells of the request.
	Found bool
	// Ends are the lines that tell how it ended, the earliest first.
	Ends []Line
	// Beliefs are those of the instances that it ended at, the latest first.
	Beliefs []Belief
	// Cause is one sentence.
	Cause string
	// Foreign counts the lines that were passed over.
	Foreign int
}

// beliefs are the messages that tell of what an instance believes. Those of one group
// replace each other.
var beliefs = map[string]string{
	"Started":           "life",
	"DrainBegun":        "life",
	"ConfigInForce":     "declaration",
	"UpstreamsListed":   "upstreams",
	"MembersListed":     "members",
	"EvacuationsListed": "evacuations",
	"MovesListed":       "moves",
	"WatchingChanged":   "watching",
	"LimitsConfirmed":   "limits",
	"PlatformLost":      "platform",
	"PlatformRegained":  "platform",
	"UpstreamSuspect":   "suspicion",
	"PeerLost":          "links",
}

// Explain answers a question.
func Explain(question Question) Explanation {
	explanation := Explanation{
		Request: question.Request,
	}
	var all []Line
	for _, log := range question.Logs {
		all = append(all, log.Lines...)
		explanation.Foreign += log.Foreign
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range all {
		if line.Request == question.Request {
			explanation.Ends = append(explanation.Ends, line)
		}
	}
	explanation.Found = len(explanation.Ends) > 0
	if !explanation.Found {
		explanation.Cause = "no log tells of this request: it reached no instance whose log is here, or its line was left out (LeftOut)"
		return explanation
	}
	last := explanation.Ends[len(explanation.Ends)-1]
	explanation.Beliefs = believed(all, last)
	explanation.Cause = cause(last, explanation.Beliefs)
	return explanation
}

// believed returns what the instance of a line believed at the time, the latest first.
// Of suspicions only that of the line's own upstream counts.
func believed(all []Line, end Line) []Belief {
	latest := map[string]Belief{}
	for _, line := range all {
		group, known := beliefs[line.Message]
		if !known || line.Instance != end.Instance || line.Time.After(end.Time) {
			continue
		}
		if group == "suspicion" && line.Upstream != end.Upstream {
			continue
		}
		latest[group] = Belief{
			Instance:  line.Instance,
			Message:   line.Message,
			Revision:  line.Revision,
			Subject:   line.Peer + line.Upstream,
			AgeMillis: end.Time.Sub(line.Time).Milliseconds(),
		}
	}
	sorted := make([]Belief, 0, len(latest))
	for _, belief := range latest {
		sorted = append(sorted, belief)
	}
	slices.SortFunc(sorted, func(a, b Belief) int {
		if a.AgeMillis != b.AgeMillis {
			return int(a.AgeMillis - b.AgeMillis)
		}
		return len(a.Message) - len(b.Message)
	})
	return sorted
}

// find returns the belief that a message told.
func find(all []Belief, message string) (Belief, bool) {
	at := slices.IndexFunc(all, func(belief Belief) bool { return belief.Message == message })
	if at < 0 {
		return Belief{}, false
	}
	return all[at], true
}

// youngMillis is for how long after its start an instance is short of its parts of
// limits, in milliseconds: until all others have its first report.
const youngMillis = 5000

// cause says in a sentence why a request ended as it did.
func cause(end Line, believed []Belief) string {
	if end.Message == "Answered" {
		return answered(end)
	}
	switch end.Reason {
	case arbiter.TeamOverRate:
		return overRate(end, believed)
	case arbiter.NoRoom:
		return fmt.Sprintf("%s had no upstream of %s with a free slot, as far as it knew%s.", end.Instance, end.Service, age(believed, "UpstreamsListed"))
	case arbiter.UnknownService:
		return fmt.Sprintf("the declaration %d of %s has no route for this host and path%s.", end.Revision, end.Instance, age(believed, "ConfigInForce"))
	case arbiter.KeyMissing, arbiter.KeyUnknown, arbiter.KeyWithdrawn:
		return fmt.Sprintf("the key does not work by the declaration %d of %s%s: %s.", end.Revision, end.Instance, age(believed, "ConfigInForce"), end.Detail)
	case arbiter.NotReady:
		return fmt.Sprintf("%s had no declaration yet%s.", end.Instance, age(believed, "Started"))
	case arbiter.DeadlineExceeded:
		return late(end)
	case arbiter.UpstreamBroken, arbiter.UpstreamUnreached, arbiter.UpstreamFailed, arbiter.UpstreamReplaced,
		arbiter.UpstreamShed, arbiter.AnswerBroken:
		return fmt.Sprintf("%s, the last of %d, failed it: %s%s; the request %s.", end.Upstream, end.Attempts, end.Detail, because(end), verdicts[end.Verdict])
	case arbiter.CallerGone:
		return fmt.Sprintf("the caller went away after %d ms; the request %s.", end.TookMillis, verdicts[end.Verdict])
	default:
		return fmt.Sprintf("%s: %s; the request %s.", end.Reason, end.Detail, verdicts[end.Verdict])
	}
}

// verdicts say what a verdict means for the request.
var verdicts = map[string]string{
	arbiter.NotRun.String():     "has not run",
	arbiter.MayHaveRun.String(): "may have run",
	arbiter.Ran.String():        "has run",
}

func answered(end Line) string {
	if end.Status >= http.StatusInternalServerError {
		return fmt.Sprintf("%s answered %d by itself after %d ms, and it was passed on.", end.Upstream, end.Status, end.TookMillis)
	}
	return fmt.Sprintf("%s answered %d after %d ms; it did not fail here.", end.Upstream, end.Status, end.TookMillis)
}

func overRate(end Line, believed []Belief) string {
	started, known := find(believed, "Started")
	if _, confirmed := find(believed, "LimitsConfirmed"); known && !confirmed && started.AgeMillis < youngMillis {
		return fmt.Sprintf("%s had started %d ms before and held only its even part of the limit of %s.", end.Instance, started.AgeMillis, end.Team)
	}
	return fmt.Sprintf("the limit of %s, by declaration %d%s, was used up at %s and where it borrows; the request waited %d ms for it.",
		end.Team, end.Revision, age(believed, "ConfigInForce"), end.Instance, end.TookMillis)
}

func late(end Line) string {
	if end.Attempts == 0 {
		return fmt.Sprintf("the deadline passed at %s before the request was sent to an upstream.", end.Instance)
	}
	return fmt.Sprintf("%s had not answered when the limit of %d ms passed, in %d attempt(s); the request %s.", end.Upstream, end.LimitMillis, end.Attempts, verdicts[end.Verdict])
}

// because adds what the failure was traced to.
func because(end Line) string {
	if end.Cause == "" {
		return ""
	}
	return " (" + end.Cause + ")"
}

// age adds how old a belief was.
func age(all []Belief, message string) string {
	belief, found := find(all, message)
	if !found {
		return ""
	}
	return fmt.Sprintf(", told %v before", time.Duration(belief.AgeMillis)*time.Millisecond)
}
