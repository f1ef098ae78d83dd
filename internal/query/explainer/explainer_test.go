package explainer_test

import (
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/internal/query/explainer"
)

// recordedLog holds lines of a benchmark run of quiltway-grown, as the benchmark printed
// them. The first line is truncated, and the next two are of other programs.
const recordedLog = `   0.3 front-derby-7 {"level":"info","Instance":"front-de
something else entirely
{"level":"info","msg":"a line of another program"}
 -12.8 front-derby-7 {"level":"info","Instance":"front-derby-7","Incarnation":"front-derby-7-A","time":"2026-04-28T19:45:09.05Z","message":"Started"}
  -8.9 front-derby-7 {"level":"info","Instance":"front-derby-7","Upstreams":376,"Revision":463,"time":"2026-04-28T19:45:13.00Z","message":"UpstreamsListed"}
   1.5 front-derby-7 {"level":"info","Instance":"front-derby-7","Revision":8,"Before":7,"time":"2026-04-28T19:45:20.54Z","message":"ConfigInForce"}
   2.9 front-derby-7 {"level":"info","Instance":"front-derby-7","Request":"e1","Route":"r-mb4qg5f","Service":"seda15a","Team":"zipu311","Upstream":"","Attempts":0,"Status":0,"Revision":8,"Plan":16,"TookMillis":171,"LimitMillis":1500,"Verdict":"NotRun","Reason":"TeamOverRate","Detail":"the team's rate is used up","time":"2026-04-28T19:45:21.95Z","message":"Refused"}
   3.8 front-derby-11 {"level":"info","Instance":"front-derby-11","Request":"e2","Route":"r-q9rns2r","Service":"tivo25b","Team":"bami644","Upstream":"i-b9f4db19f2","Attempts":1,"Status":0,"Revision":8,"Plan":16,"TookMillis":2500,"LimitMillis":2500,"Verdict":"MayHaveRun","Reason":"DeadlineExceeded","Detail":"the deadline passed before the upstream answered","time":"2026-04-28T19:45:22.80Z","message":"Refused"}
   4.0 front-derby-11 {"level":"info","Instance":"front-derby-11","Upstream":"i-aa","Address":"10.1.64.34:8788","Reason":"UpstreamBroken","time":"2026-04-28T19:45:22.90Z","message":"UpstreamSuspect"}
   4.1 front-derby-11 {"level":"info","Instance":"front-derby-11","Request":"e3","Route":"r-9td52g7","Service":"seda15a","Team":"bami644","Upstream":"i-aa","Attempts":1,"Status":0,"Revision":8,"Plan":16,"TookMillis":40,"LimitMillis":1500,"Verdict":"MayHaveRun","Reason":"UpstreamBroken","Detail":"the upstream broke the connection","Cause":"read: connection reset by peer","time":"2026-04-28T19:45:23.00Z","message":"Refused"}
   4.4 front-kettering-4 {"level":"info","Instance":"front-kettering-4","Request":"e4","Route":"r-q9rns2r","Service":"tivo25b","Team":"bami644","Upstream":"i-3db471b3f9","Attempts":2,"Status":500,"Revision":8,"Plan":16,"TookMillis":2734,"time":"2026-04-28T19:45:23.40Z","message":"Answered"}
   5.0 front-corby-1 {"level":"info","Instance":"front-corby-1","Incarnation":"front-corby-1-B","time":"2026-04-28T19:45:24.00Z","message":"Started"}
   5.4 front-corby-1 {"level":"info","Instance":"front-corby-1","Request":"e5","Team":"bami644","Attempts":0,"Revision":8,"TookMillis":170,"Verdict":"NotRun","Reason":"TeamOverRate","time":"2026-04-28T19:45:24.40Z","message":"Refused"}
   5.5 front-corby-1 {"level":"info","Instance":"front-corby-1","Service":"seda15a","Shares":[1,1,0.4],"FairShare":0.6,"time":"2026-04-28T19:45:24.50Z","message":"LevelChanged"}
   5.6 front-corby-1 {"level":"info","Instance":"front-corby-1","Request":"e7","Service":"seda15a","Queue":"BelowLevel","Priority":2,"LevelShare":0.4,"Verdict":"NotRun","Reason":"NoRoom","time":"2026-04-28T19:45:24.60Z","message":"Refused"}
   5.7 front-corby-1 {"level":"info","Instance":"front-corby-1","Request":"e8","Service":"seda15a","Queue":"TooLate","Priority":1,"Ahead":3,"ExpectedMillis":900,"Verdict":"NotRun","Reason":"NoRoom","time":"2026-04-28T19:45:24.70Z","message":"Refused"}
   5.8 front-corby-1 {"level":"info","Instance":"front-corby-1","Request":"e9","Service":"seda15a","Upstream":"i-aa","Status":200,"TookMillis":400,"Queue":"Waits","Priority":1,"Ahead":2,"WaitedMillis":120,"time":"2026-04-28T19:45:24.80Z","message":"Answered"}
`

// copiesLog holds lines with the fields of copies, which recordedLog is too old for.
const copiesLog = `{"Instance":"front-corby-1","Request":"e20","Service":"seda15a","Upstream":"i-aa","Attempts":1,"Status":200,"TookMillis":250,"Rank":2,"Copies":3,"ExpectedTime":1.4,"time":"2026-12-06T19:45:25.00Z","message":"Answered"}
{"Instance":"front-corby-1","Request":"e21","Service":"seda15a","Attempts":0,"RefusedCopies":1,"RefusedExpectedTime":4.5,"Verdict":"NotRun","Reason":"NoRoom","time":"2026-12-06T19:45:25.10Z","message":"Refused"}
`

// attemptsLog holds lines with the failed attempts of a request.
const attemptsLog = `{"Instance":"front-corby-1","Request":"e30","Service":"seda15a","Upstream":"i-bb","Attempts":2,"Status":0,"CallerStatus":503,"Failures":[{"Upstream":"i-aa","AfterMillis":1,"TookMillis":30,"Status":421,"Reason":"UpstreamReplaced","Verdict":"NotRun"},{"Upstream":"i-bb","AfterMillis":31,"TookMillis":12,"Status":0,"Reason":"UpstreamUnreached","Verdict":"NotRun"}],"Verdict":"NotRun","Reason":"UpstreamUnreached","Detail":"no connection to the upstream","time":"2026-12-06T19:45:26.00Z","message":"Refused"}
{"Instance":"front-corby-1","Request":"e31","Service":"seda15a","Upstream":"i-aa","Attempts":1,"Status":0,"CallerStatus":502,"Failures":[{"Upstream":"i-aa","AfterMillis":1,"TookMillis":30,"Status":0,"Reason":"UpstreamBroken","Verdict":"MayHaveRun"}],"Verdict":"MayHaveRun","Reason":"UpstreamBroken","Detail":"the upstream broke the connection","time":"2026-12-06T19:45:27.00Z","message":"Refused"}
{"Instance":"front-corby-1","Request":"e32","Service":"seda15a","Upstream":"i-aa","Attempts":1,"Status":0,"CallerStatus":502,"Failures":[{"Upstream":"i-aa","AfterMillis":1,"TookMillis":3,"Status":0,"Reason":"AnswerMalformed","Verdict":"MayHaveRun","Detail":"malformed answer: the status is not a number from 100 to 599 between blanks: \"HTTP/1.1 000 OK\""}],"Verdict":"MayHaveRun","Reason":"AnswerMalformed","Detail":"the upstream's answer is malformed","time":"2026-12-06T19:45:28.00Z","message":"Refused"}
`

// recordedForeign is how many lines of recordedLog must be skipped.
const recordedForeign = 3

// TestExplanationNamesCauseAndState checks the cause and the state that an explanation
// names.
func TestExplanationNamesCauseAndState(t *testing.T) {
	cases := []struct {
		name    string
		request string
		// cause is a part of the expected sentence, and believes a message that must be
		// among the beliefs, unless it is empty.
		cause    string
		believes string
	}{
		{
			name:     "over the rate",
			request:  "e1",
			cause:    "limit of zipu311, by declaration 8, told 1.41s before, was used up at front-derby-7",
			believes: "UpstreamsListed",
		},
		{
			name:    "deadline passed",
			request: "e2",
			cause:   "i-b9f4db19f2 had not answered when the limit of 2500 ms passed, in 1 attempt(s); the request may have run",
		},
		{
			name:     "connection broken by the upstream",
			request:  "e3",
			cause:    "i-aa, the last of 1, failed it: the upstream broke the connection (read: connection reset by peer); the request may have run",
			believes: "UpstreamSuspect",
		},
		{
			name:    "failure answered by the upstream",
			request: "e4",
			cause:   "i-3db471b3f9 answered 500 by itself",
		},
		{
			name:     "over the rate just after the start of the instance",
			request:  "e5",
			cause:    "front-corby-1 had started 400 ms before and held only its even part of the limit of bami644",
			believes: "Started",
		},
		{
			name:     "below the admission level",
			request:  "e7",
			cause:    "the admission level let through 0.40 of the requests of priority 2",
			believes: "LevelChanged",
		},
		{
			name:    "no slot in time",
			request: "e8",
			cause:   "one was expected 900 ms after its arrival, behind 3 others, which was too late",
		},
		{
			name:    "answered after a wait",
			request: "e9",
			cause:   "waited 120 ms for a slot behind 2 others",
		},
		{
			name:    "unknown request",
			request: "e6",
			cause:   "no log tells of this request",
		},
		{
			name:    "answered by a later copy",
			request: "e20",
			cause:   "rank 2 for the object, which has 3 copies, and was expected to take 1.40 times as long",
		},
		{
			name:    "an answer that says that the request has not run",
			request: "e30",
			cause:   "Attempt 1, sent to i-aa after 1 ms, was answered 421 after 30 ms (UpstreamReplaced): it has not run. Attempt 2, sent to i-bb after 31 ms, failed after 12 ms before a byte was sent (UpstreamUnreached): it has not run. The caller got 503.",
		},
		{
			name:    "an attempt without an answer",
			request: "e31",
			cause:   "Attempt 1, sent to i-aa after 1 ms, got no answer within 30 ms (UpstreamBroken): it may have run. The caller got 502.",
		},
		{
			name:    "a malformed answer",
			request: "e32",
			cause:   "Attempt 1, sent to i-aa after 1 ms, failed after 3 ms (AnswerMalformed, malformed answer: the status is not a number from 100 to 599 between blanks: \"HTTP/1.1 000 OK\"): it may have run. The caller got 502.",
		},
		{
			name:    "the only copy had no room",
			request: "e21",
			cause:   "the object has 1 copies, of which the best was expected to take 4.50 times as long",
		},
	}
	log, err := explainer.Read(strings.NewReader(recordedLog + copiesLog + attemptsLog))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := explainer.Explain(explainer.Question{
				Request: c.request,
				Logs:    []explainer.Log{log},
			})
			if !strings.Contains(got.Cause, c.cause) {
				t.Errorf("got cause %q, want one that contains %q", got.Cause, c.cause)
			}
			if got.Foreign != recordedForeign {
				t.Errorf("got %d skipped lines, want %d", got.Foreign, recordedForeign)
			}
			found := c.believes == ""
			for _, belief := range got.Beliefs {
				found = found || belief.Message == c.believes
			}
			if !found {
				t.Errorf("got beliefs %+v, want one with message %s", got.Beliefs, c.believes)
			}
		})
	}
}
