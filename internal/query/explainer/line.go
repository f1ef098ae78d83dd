package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// maxLineBytes bounds a line of a log, in bytes; a longer one ends the reading.
const maxLineBytes = 1 << 20

// Line is what explanations need of one line of a log. Fields that a line lacks are
// empty.
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
	// Revision is that of what Message tells of: of the declaration in a request's line.
	Revision    uint64         `json:"Revision"`
	TookMillis  int64          `json:"TookMillis"`
	LimitMillis int64          `json:"LimitMillis"`
	Verdict     string         `json:"Verdict"`
	Reason      arbiter.Reason `json:"Reason"`
	Detail      string         `json:"Detail"`
	Cause       string         `json:"Cause"`
}

// Log is the lines of one or more processes.
type Log struct {
	Lines []Line
	// Foreign counts the lines that are none of the program's, or were cut short.
	Foreign int
}

// Read reads a log. What stands before the first brace of a line is passed over, such
// as a collector's own time.
func Read(source io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parse(text)
		if err != nil {
			log.Foreign++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	return log, scanner.Err()
}

var errForeign = errors.New("not a line of this program")

func parse(text []byte) (Line, error) {
	var line Line
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, errForeign
	}
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return line, err
	}
	if line.Message == "" || line.Instance == "" || line.Time.IsZero() {
		return line, errForeign
	}
	return line, nil
}
