package commander

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/auditor"
)

type dutyQuery struct {
	Output
	Files []string `arg:"" optional:"" help:"Log files of instances; standard input if none is given, or for -."`
}

// Run tells from logs who held the duty and what became of each window.
func (q *dutyQuery) Run(s *invocation) error {
	logs, err := readLogs(q.Files, auditor.Read)
	if err != nil {
		return err
	}
	return printResult(s, q.Output, auditor.Examine(logs), printAudit)
}

func printAudit(w io.Writer, audit auditor.Audit) {
	if audit.Foreign > 0 {
		fmt.Fprintf(w, "%d line(s) passed over: cut short, or of another program\n", audit.Foreign)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SINCE\tHOLDER\tTOKEN\tSTART\tEND")
	for _, tenure := range audit.Tenures {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", tenure.Since.Format(time.RFC3339Nano), tenure.Holder, tenure.Token, tenure.Start, tenure.End)
	}
	fmt.Fprintln(table, "\nWINDOW\tSTATE\tTOKEN\tREQUESTS\tRECORDED MS\tREPORTED MS\tCAUSE")
	for _, window := range audit.Windows {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%d\t%d\t%s\n", window.Number, window.State, window.Token, window.Requests,
			window.RecordedMillis, window.ReportedMillis, window.Cause)
	}
	// An error in writing to the terminal could not be reported there either.
	_ = table.Flush()
}
