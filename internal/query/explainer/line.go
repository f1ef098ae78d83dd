package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// maxLineBytes limits the length of a line of a log, in bytes. Read fails at a longer
// line.
const maxLineBytes = 1 << 20

// Line holds the fields of a log line that explanations need. Fields that the log line
// lacks are empty.
type Line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	Instance string    `json:"Instance"`
	Request  string    `json:"Request"`
	Route    string    `json:"Route"`
	Service  string    `json:"Service"`
	Team     string    `json:"Team"`
	Upstream string    `json:"Upstream"`
	Peer     string    `json:"Peer"`
	Attempts int       `json:"Attempts"`
	Status   int       `json:"Status"`
	// Revision is that of the state that Message reports; in the line of a request, it is
	// that of the declaration.
	Revision    uint64         `json:"Revision"`
	TookMillis  int64          `json:"TookMillis"`
	LimitMillis int64          `json:"LimitMillis"`
	Verdict     string         `json:"Verdict"`
	Reason      arbiter.Reason `json:"Reason"`
	Detail      string         `json:"Detail"`
	Cause       string         `json:"Cause"`
	// The fields from Queue on are those of a request that waited for an upstream, or that the
	// queue or the admission level refused (see scheduler.Cause).
	Queue          string  `json:"Queue"`
	Priority       int     `json:"Priority"`
	WaitedMillis   int64   `json:"WaitedMillis"`
	Ahead          int     `json:"Ahead"`
	ExpectedMillis int64   `json:"ExpectedMillis"`
	LevelShare     float64 `json:"LevelShare"`
	// Rank is the position of the upstream among the Copies of the request's object, and
	// ExpectedTime the time to an answer that was expected there, as a multiple of the time at
	// an idle upstream. They are 0 where the number of copies does not follow the demand.
	Rank         int     `json:"Rank,omitempty"`
	Copies       int     `json:"Copies,omitempty"`
	ExpectedTime float64 `json:"ExpectedTime,omitempty"`
	// RefusedCopies and RefusedExpectedTime are those of a request that found no copy with
	// room.
	RefusedCopies       int     `json:"RefusedCopies,omitempty"`
	RefusedExpectedTime float64 `json:"RefusedExpectedTime,omitempty"`
	// CallerStatus is the HTTP status that the caller was sent, or 0 if its connection was
	// aborted. Failures are the attempts that failed, in their order.
	CallerStatus int       `json:"CallerStatus,omitempty"`
	Failures     []Failure `json:"Failures,omitempty"`
}

// Failure is an attempt to send a request that has failed.
type Failure struct {
	Upstream string `json:"Upstream"`
	// AfterMillis is how long after the request's arrival the attempt began, and TookMillis
	// how long it took.
	AfterMillis int64 `json:"AfterMillis"`
	TookMillis  int64 `json:"TookMillis"`
	// Status is the HTTP status of the upstream's answer, or 0 if there was none.
	Status  int            `json:"Status"`
	Reason  arbiter.Reason `json:"Reason"`
	Verdict string         `json:"Verdict"`
	// Detail says what was wrong with a malformed answer; empty after any other failure.
	Detail string `json:"Detail,omitempty"`
}

// Log holds the lines that one or more instances logged.
type Log struct {
	Lines []Line
	// Foreign counts the skipped lines, which are truncated or of another program.
	Foreign int
}

// Read reads a log. It ignores what precedes the first brace of a line, such as a
// timestamp that a log collector adds.
func Read(source io.Reader) (Log, error) {
	lines, foreign, err := ReadLines(source, func(line Line) bool {
		return line.Message != "" && line.Instance != "" && !line.Time.IsZero()
	})
	return Log{
		Lines:   lines,
		Foreign: foreign,
	}, err
}

// ReadLines reads the lines of a log as values of a type that the caller needs. It also returns
// how many lines were skipped: those that are no JSON object, or that are not complete, as those
// of another program.
func ReadLines[T any](source io.Reader, isComplete func(line T) bool) (lines []T, foreign int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		var line T
		start := bytes.IndexByte(text, '{')
		if start < 0 || json.Unmarshal(text[start:], &line) != nil || !isComplete(line) {
			foreign++
			continue
		}
		lines = append(lines, line)
	}
	return lines, foreign, scanner.Err()
}
