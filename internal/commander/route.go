package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// maxPrintedCandidates is how many upstreams the text output has; the JSON output has all.
const maxPrintedCandidates = 12

type routeQuery struct {
	Remote
	Output
	Host   string `arg:"" help:"Host name that the caller requests."`
	Path   string `arg:"" help:"Path that the caller requests."`
	Method string `default:"GET" help:"HTTP method (${default})."`
	Team   string `placeholder:"NAME" help:"Team of the caller; needed unless the route is open."`
	Object string `placeholder:"TEXT" help:"Object that the request concerns."`
}

// Run prints where the instance would send the request. Instances on the platform need no
// operators' key.
func (q *routeQuery) Run(s *invocation) error {
	key, err := q.key()
	if err != nil {
		return err
	}
	answer, err := operator.New(q.At, key).Route(s.ctx, previewer.Question{
		Host:   q.Host,
		Path:   q.Path,
		Method: q.Method,
		Team:   q.Team,
		Object: q.Object,
	})
	if err != nil {
		return err
	}
	return printResult(s, q.Output, answer, printRoute)
}

func printRoute(w io.Writer, answer previewer.Answer) {
	preview := answer.Preview
	fmt.Fprintf(w, "%s at %s, revision %d, plan %d\n", answer.Instance,
		answer.At.Format("2006-01-02T15:04:05.000Z"), preview.Revision, preview.Generation)
	if refusal := preview.Refusal; refusal != nil {
		fmt.Fprintf(w, "refused: %s: %s\n", refusal.Reason, refusal.Detail)
	} else {
		fmt.Fprintf(w, "goes to: %s\n", preview.Upstream)
	}
	if preview.Route == "" {
		return
	}
	fmt.Fprintf(w, "route %s, service %s, idempotent %t, timeout %d ms\n",
		preview.Route, preview.Service, preview.Idempotent, preview.TimeoutMillis)
	if rate := preview.Rate; rate != nil {
		fmt.Fprintf(w, "rate of the team here: %.1f/s, burst %d, admits the request: %t\n", rate.PerSecond, rate.Burst, rate.Admits)
	}
	if preview.HasObject {
		fmt.Fprintf(w, "position of the object %.3f, moved to the new version below %.3f\n", preview.Position, preview.MovedShare)
	}
	fmt.Fprintf(w, "regions by route %s, by team %s; distance counts: %t; load bound %.2f\n",
		orAll(preview.RouteRegions), orAll(preview.TeamRegions), !preview.AnyRegion, preview.LoadBound)
	printCandidates(w, preview.Candidates)
}

// orAll returns a list of regions as text.
func orAll(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ",")
}

func printCandidates(w io.Writer, candidates []admitter.CandidatePreview) {
	if len(candidates) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "\nRANK\tUPSTREAM\tVERSION\tPLACE\tREGION\tHEALTH\tIN USE\tSLOTS\tLOAD\tDISTANCE\tNOT CHOSEN FOR")
	for _, next := range candidates[:min(len(candidates), maxPrintedCandidates)] {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%.3f\t%s\n",
			next.Rank, next.Name, next.Version, next.Place, next.Region, next.Health,
			next.InUse, next.Slots, next.Load, next.DistanceCost, joinObstacles(next.Obstacles))
	}
	table.Flush()
	if omitted := len(candidates) - maxPrintedCandidates; omitted > 0 {
		fmt.Fprintf(w, "and %d more: --output json\n", omitted)
	}
}

// joinObstacles returns obstacles as text, or "-" for none.
func joinObstacles(obstacles []admitter.Obstacle) string {
	if len(obstacles) == 0 {
		return "-"
	}
	names := make([]string, 0, len(obstacles))
	for _, obstacle := range obstacles {
		names = append(names, string(obstacle))
	}
	return strings.Join(names, ",")
}
