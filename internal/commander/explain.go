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
	Request string   `arg:"" help:"The request's id, as its caller sent it."`
	Files   []string `arg:"" optional:"" help:"Logs of instances; - or none reads standard input."`
}

// Run says from logs what happened to a request and why.
func (q *explainQuery) Run(s *session) error {
	logs, err := readLogs(q.Files)
	if err != nil {
		return err
	}
	explanation := explainer.Explain(explainer.Question{
		Request: q.Request,
		Logs:    logs,
	})
	if err = print(s, q.Output, explanation, printExplanation); err != nil {
		return err
	}
	if !explanation.Found {
		return &refusal{
			message: "no log tells of the request " + q.Request,
		}
	}
	return nil
}

func readLogs(files []string) ([]explainer.Log, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	logs := make([]explainer.Log, 0, len(files))
	for _, name := range files {
		log, err := readLog(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		logs = append(logs, log)
	}
	return logs, nil
}

func readLog(name string) (explainer.Log, error) {
	if name == "-" {
		return explainer.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return explainer.Log{}, err
	}
	defer file.Close()
	return explainer.Read(file)
}

func printExplanation(w io.Writer, explained explainer.Explanation) {
	fmt.Fprintln(w, explained.Cause)
	if explained.Foreign > 0 {
		fmt.Fprintf(w, "%d line(s) passed over: cut short, or of another program\n", explained.Foreign)
	}
	if !explained.Found {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nTIME\tINSTANCE\tWHAT\tREASON\tVERDICT\tUPSTREAM\tATTEMPTS\tSTATUS\tTOOK MS")
	for _, end := range explained.Ends {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", end.Time.Format(time.RFC3339Nano), end.Instance,
			end.Message, end.Reason, end.Verdict, end.Upstream, end.Attempts, end.Status, end.TookMillis)
	}
	fmt.Fprintln(table, "\nBELIEVED THEN\tREVISION\tABOUT\tAGE MS")
	for _, belief := range explained.Beliefs {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\n", belief.Message, belief.Revision, belief.Subject, belief.AgeMillis)
	}
	// What cannot be written to the terminal cannot be told there either.
	_ = table.Flush()
}
