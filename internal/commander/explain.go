package commander

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/explainer"
)

type explainQuery struct {
	Output
	Request string   `arg:"" help:"ID of the request, as its caller sent it."`
	Files   []string `arg:"" optional:"" help:"Log files of instances; standard input if none is given, or for -."`
}

// Run explains from logs what happened to a request and why.
func (q *explainQuery) Run(s *invocation) error {
	logs, err := readLogs(q.Files, explainer.Read)
	if err != nil {
		return err
	}
	explanation := explainer.Explain(explainer.Question{
		Request: q.Request,
		Logs:    logs,
	})
	if err = printResult(s, q.Output, explanation, printExplanation); err != nil {
		return err
	}
	if !explanation.Found {
		return &negativeResult{
			message: "no log tells of the request " + q.Request,
		}
	}
	return nil
}

// readLogs reads log files; standard input if there are none.
func readLogs[L any](files []string, read func(io.Reader) (L, error)) ([]L, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	logs := make([]L, 0, len(files))
	for _, name := range files {
		log, err := readLog(name, read)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		logs = append(logs, log)
	}
	return logs, nil
}

func readLog[L any](name string, read func(io.Reader) (L, error)) (L, error) {
	if name == "-" {
		return read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		var none L
		return none, err
	}
	defer file.Close()
	return read(file)
}

func printExplanation(w io.Writer, explanation explainer.Explanation) {
	fmt.Fprintln(w, explanation.Cause)
	if explanation.Foreign > 0 {
		fmt.Fprintf(w, "%d line(s) passed over: cut short, or of another program\n", explanation.Foreign)
	}
	if !explanation.Found {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nTIME\tINSTANCE\tWHAT\tREASON\tVERDICT\tUPSTREAM\tATTEMPTS\tSTATUS\tTOOK MS")
	for _, end := range explanation.Ends {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", end.Time.Format(time.RFC3339Nano), end.Instance,
			end.Message, end.Reason, end.Verdict, end.Upstream, end.Attempts, end.Status, end.TookMillis)
	}
	fmt.Fprintln(table, "\nBELIEVED THEN\tREVISION\tABOUT\tAGE MS")
	for _, belief := range explanation.Beliefs {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\n", belief.Message, belief.Revision, belief.Subject, belief.AgeMillis)
	}
	// An error in writing to the terminal could not be reported there either.
	_ = table.Flush()
}
