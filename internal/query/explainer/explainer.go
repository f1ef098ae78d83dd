// Package explainer explains from the logs of several instances what happened to one
// request: how it ended, which state its instance had last logged by then, and why the
// request failed. It knows only what the logs hold: state that was logged after the
// request ended, or not at all, is not considered.
package explainer

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// Question names a request and the logs in which to look for it.
type Question struct {
	Request string
	Logs    []Log
}

// Belief is a part of the state that an instance last logged before a request ended; the
// instance is taken to have acted on it.
type Belief struct {
	Instance string
	// Message and Revision are those of the log line that reported it. The instance knew
	// the state up to Revision.
	Message  string
	Revision uint64
	// Subject is the name of the peer or upstream that the belief is about, if any.
	Subject string
	// AgeMillis is how long before the end of the request it was logged, in milliseconds.
	AgeMillis int64
}

// Explanation is what the logs say about a request.
type Explanation struct {
	Request string
	// Found reports whether a log has a line of the request.
	Found bool
	// Ends are the lines that report how the request ended, the earliest first: one for
	// each time that an instance ended a request with its ID.
	Ends []Line
	// Beliefs are those of the instance that logged the last of Ends, the latest first.
	Beliefs []Belief
	// Cause says in one sentence why the request ended as it did.
	Cause string
	// Foreign counts the lines that were skipped, as they are truncated or of another
	// program.
	Foreign int
}

// beliefGroups maps each log message that reports a part of the state to the name of that
// part. A later message replaces an earlier one of the same part.
var beliefGroups = map[string]string{
	"Started":            "life",
	"DrainBegun":         "life",
	"ConfigInForce":      "declaration",
	"UpstreamsListed":    "upstreams",
	"MembersListed":      "members",
	"EvacuationsListed":  "evacuations",
	"MovesListed":        "moves",
	"VersionJudged":      "versions",
	"VersionsWithheld":   "versions",
	"WatchingChanged":    "watching",
	"LimitsConfirmed":    "limits",
	"PlatformLost":       "platform",
	"PlatformRegained":   "platform",
	"StoreRestored":      "store",
	"UpstreamSuspect":    "suspicion",
	"UpstreamAdvertised": "advertisement",
	"LevelChanged":       "level",
	"PeerLost":           "links",
}

// Explain returns the explanation of the request in a question.
func Explain(question Question) Explanation {
	explanation := Explanation{
		Request: question.Request,
	}
	var lines []Line
	for _, log := range question.Logs {
		lines = append(lines, log.Lines...)
		explanation.Foreign += log.Foreign
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
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
	explanation.Beliefs = beliefsBefore(lines, last)
	explanation.Cause = explainEnd(last, explanation.Beliefs) + explainAttempts(last)
	return explanation
}

// beliefsBefore returns the beliefs of a line's instance at the time of the line, the
// latest first. Suspicions of upstreams other than that of the line are left out.
func beliefsBefore(lines []Line, end Line) []Belief {
	latest := map[string]Belief{}
	for _, line := range lines {
		group, known := beliefGroups[line.Message]
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

// findBelief returns the belief that the given message reported.
func findBelief(beliefs []Belief, message string) (Belief, bool) {
	index := slices.IndexFunc(beliefs, func(belief Belief) bool { return belief.Message == message })
	if index < 0 {
		return Belief{}, false
	}
	return beliefs[index], true
}

// startupMillis is how long after its start an instance may have less than its full parts
// of limits, in milliseconds. It gets these once all other instances have confirmed its
// first report of demand.
const startupMillis = 5000

// explainEnd returns a sentence on why a request ended as it did.
func explainEnd(end Line, beliefs []Belief) string {
	if end.Message == "Answered" {
		return explainAnswer(end)
	}
	switch end.Reason {
	case arbiter.TeamOverRate:
		return explainOverRate(end, beliefs)
	case arbiter.NoRoom:
		if end.Queue != "" {
			return explainQueue(end)
		}
		return fmt.Sprintf("%s had no upstream of %s with a free slot, as far as it knew%s%s.", end.Instance, end.Service, ageSuffix(beliefs, "UpstreamsListed"), refusedCopySuffix(end))
	case arbiter.UnknownService:
		return fmt.Sprintf("the declaration %d of %s has no route for this host and path%s.", end.Revision, end.Instance, ageSuffix(beliefs, "ConfigInForce"))
	case arbiter.KeyMissing, arbiter.KeyUnknown, arbiter.KeyWithdrawn:
		return fmt.Sprintf("the key does not work by the declaration %d of %s%s: %s.", end.Revision, end.Instance, ageSuffix(beliefs, "ConfigInForce"), end.Detail)
	case arbiter.NotReady:
		return fmt.Sprintf("%s had no declaration yet%s.", end.Instance, ageSuffix(beliefs, "Started"))
	case arbiter.DeadlineExceeded:
		return explainDeadline(end)
	case arbiter.UpstreamBroken, arbiter.AnswerMalformed, arbiter.UpstreamUnreached, arbiter.UpstreamFailed, arbiter.UpstreamReplaced,
		arbiter.UpstreamShed, arbiter.NotRunUnproved, arbiter.ConnectionEnded, arbiter.AnswerBroken:
		return fmt.Sprintf("%s, the last of %d, failed it: %s%s; the request %s.", end.Upstream, end.Attempts, end.Detail, causeSuffix(end), verdictPhrases[end.Verdict])
	case arbiter.CallerGone:
		return fmt.Sprintf("the caller went away after %d ms; the request %s.", end.TookMillis, verdictPhrases[end.Verdict])
	default:
		return fmt.Sprintf("%s: %s; the request %s.", end.Reason, end.Detail, verdictPhrases[end.Verdict])
	}
}

// verdictPhrases maps each verdict to the phrase that says whether the request ran.
var verdictPhrases = map[string]string{
	arbiter.NotRun.String():     "has not run",
	arbiter.MayHaveRun.String(): "may have run",
	arbiter.Ran.String():        "has run",
}

// explainAnswer explains a request that an upstream answered.
func explainAnswer(end Line) string {
	if end.Status >= http.StatusInternalServerError {
		return fmt.Sprintf("%s answered %d by itself after %d ms, and it was passed on.", end.Upstream, end.Status, end.TookMillis)
	}
	if end.Queue != "" {
		return fmt.Sprintf("%s answered %d after %d ms, of which the request, of priority %d, waited %d ms for a slot behind %d others; it did not fail here%s.",
			end.Upstream, end.Status, end.TookMillis, end.Priority, end.WaitedMillis, end.Ahead, copySuffix(end))
	}
	return fmt.Sprintf("%s answered %d after %d ms; it did not fail here%s.", end.Upstream, end.Status, end.TookMillis, copySuffix(end))
}

// copySuffix says which copy of its object a request went to, if that is known.
func copySuffix(end Line) string {
	if end.Copies == 0 {
		return ""
	}
	return fmt.Sprintf("; the upstream has rank %d for the object, which has %d copies, and was expected to take %.2f times as long as an idle one",
		end.Rank, end.Copies, end.ExpectedTime)
}

// refusedCopySuffix says among how many copies a request found none with room, if that is known.
func refusedCopySuffix(end Line) string {
	if end.RefusedCopies == 0 {
		return ""
	}
	return fmt.Sprintf("; the object has %d copies, of which the best was expected to take %.2f times as long as an idle one",
		end.RefusedCopies, end.RefusedExpectedTime)
}

// explainOverRate explains a request that was refused because its team's limit was used
// up.
func explainOverRate(end Line, beliefs []Belief) string {
	started, known := findBelief(beliefs, "Started")
	if _, confirmed := findBelief(beliefs, "LimitsConfirmed"); known && !confirmed && started.AgeMillis < startupMillis {
		return fmt.Sprintf("%s had started %d ms before and held only its even part of the limit of %s.", end.Instance, started.AgeMillis, end.Team)
	}
	return fmt.Sprintf("the limit of %s, by declaration %d%s, was used up at %s and where it borrows; the request waited %d ms for it.",
		end.Team, end.Revision, ageSuffix(beliefs, "ConfigInForce"), end.Instance, end.TookMillis)
}

// explainDeadline explains a request whose deadline passed.
func explainDeadline(end Line) string {
	if end.Attempts == 0 {
		return fmt.Sprintf("the deadline passed at %s before the request was sent to an upstream.", end.Instance)
	}
	return fmt.Sprintf("%s had not answered when the limit of %d ms passed, in %d attempt(s); the request %s.", end.Upstream, end.LimitMillis, end.Attempts, verdictPhrases[end.Verdict])
}

// causeSuffix returns the cause of a failure in parentheses, or nothing if the line names
// none.
func causeSuffix(end Line) string {
	if end.Cause == "" {
		return ""
	}
	return " (" + end.Cause + ")"
}

// ageSuffix returns a clause on how old the belief of a message was, or nothing without
// such a belief.
func ageSuffix(beliefs []Belief, message string) string {
	belief, found := findBelief(beliefs, message)
	if !found {
		return ""
	}
	return fmt.Sprintf(", told %v before", time.Duration(belief.AgeMillis)*time.Millisecond)
}
