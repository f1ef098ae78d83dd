package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/loader"
	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

type checkQuery struct {
	Output
	Path string `arg:"" help:"File, or folder of files that end in .toml."`
}

// Run checks the objects of all files together as one set.
func (q *checkQuery) Run(s *invocation) error {
	document, err := loader.Load(q.Path)
	if err != nil {
		return err
	}
	faults := checker.CheckDocument(document)
	if len(faults) > 0 {
		return reportFaults(s, q.Output, faults)
	}
	set := document.Set()
	return printResult(s, q.Output, checked{Objects: set.Len()}, func(w io.Writer, result checked) {
		fmt.Fprintf(w, "fits: %d objects\n", result.Objects)
	})
}

// checked is the result of a check that found no faults.
type checked struct {
	Objects int
}

type getQuery struct {
	Remote
	Output
	Kind string `arg:"" optional:"" help:"Place, Service, Team, Key, Version, Move or Route; all if left out."`
	Name string `arg:"" optional:"" help:"The object's name; all if left out."`
}

// Run prints the selected objects in the format in which they are declared.
func (q *getQuery) Run(s *invocation) error {
	selection := reporter.Selection{
		Name: q.Name,
	}
	if q.Kind != "" {
		kind, err := declarer.ParseKind(q.Kind)
		if err != nil {
			return &usageError{
				message: err.Error(),
			}
		}
		selection.Kind = kind
	}
	client, err := q.client()
	if err != nil {
		return err
	}
	objects, err := client.Objects(s.ctx, selection)
	if err != nil {
		return err
	}
	if q.Name != "" && objects.Document.Set().Len() == 0 {
		return &negativeResult{
			message: fmt.Sprintf("no %s %s in revision %d", q.Kind, q.Name, objects.Revision),
		}
	}
	return printResult(s, q.Output, objects, printObjects)
}

func printObjects(w io.Writer, objects reporter.Objects) {
	fmt.Fprintf(w, "# revision %d\n", objects.Revision)
	data, err := encoder.TOML[declarer.Document]{}.Encode(objects.Document)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	w.Write(data)
}

type statusQuery struct {
	Remote
	Output
}

// Run prints the status of an instance.
func (q *statusQuery) Run(s *invocation) error {
	client, err := q.client()
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	return printResult(s, q.Output, status, printStatus)
}

func printStatus(w io.Writer, status reporter.Status) {
	fmt.Fprintf(w, "%s in %s, seat %d, revision %d", status.Name, status.Place, status.Seat, status.Revision)
	if status.Leaving {
		fmt.Fprint(w, ", leaving")
	}
	if !status.StoreLostSince.IsZero() {
		fmt.Fprintf(w, ", no answer from the platform since %s", status.StoreLostSince.Format(time.RFC3339))
	}
	fmt.Fprintf(w, "; %d requests in flight\n", status.InFlight)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "\nFAILURE DOMAIN\tINSTANCES\tNOT LINKED\tLOWEST REVISION\tCONFIRMED")
	for _, domain := range status.Domains() {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n", domain.Place, domain.Instances, domain.NotLinked,
			domain.LowestRevision, domain.ConfirmedAt.Format(time.RFC3339))
	}
	fmt.Fprintln(table, "\nPEER\tPLACE\tCALLERS AT\tLINKED\tLEAVING\tREVISION")
	for _, peer := range status.Peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\n",
			peer.Name, peer.Place, peer.CallerAddress, peer.Linked, peer.Leaving, peer.Revision)
	}
	fmt.Fprintln(table, "\nUPSTREAM\tPLACE\tADDRESS\tHEALTH\tIN USE\tSLOTS")
	for _, upstream := range status.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n",
			upstream.Name, upstream.Place, upstream.Address, upstream.Health, upstream.InUse, upstream.Slots)
	}
	table.Flush()
}

type lookupQuery struct {
	Output
	At      string `default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"Address of the callers' listener of any instance (${default})."`
	Service string `arg:"" help:"Name of the Service."`
	Client  string `placeholder:"IP" help:"IP address of the client; the sender of the look-up if left out."`
}

// lookupTimeout is the timeout of a lookup.
const lookupTimeout = 5 * time.Second

// Run sends the lookup request that callers send.
func (q *lookupQuery) Run(s *invocation) error {
	ctx, cancel := context.WithTimeout(s.ctx, lookupTimeout)
	defer cancel()
	query := url.Values{
		"service": {q.Service},
	}
	if q.Client != "" {
		query.Set("client", q.Client)
	}
	target := "http://" + q.At + receiver.PathLookup + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	client := &http.Client{
		Transport: inspector.NewTransport(request.URL.Scheme),
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(response.StatusCode, body)
	}
	answer, err := encoder.JSON[receiver.LookupAnswer]{}.Decode(body)
	if err != nil {
		return err
	}
	return printResult(s, q.Output, answer, printLookupAnswer)
}

// decodeRefusal returns the refusal in the body of a response, or an error with the
// status if the body is no refusal.
func decodeRefusal(status int, body []byte) error {
	refused, err := encoder.JSON[translator.RefusalBody]{}.Decode(body)
	if err != nil {
		return fmt.Errorf("look-up: got status %d %s without a refusal, want 200", status, http.StatusText(status))
	}
	return &negativeResult{
		message: fmt.Sprintf("%s: %s", refused.Reason, refused.Detail),
	}
}

func printLookupAnswer(w io.Writer, answer receiver.LookupAnswer) {
	fmt.Fprintf(w, "revision %d, valid until %s\n", answer.Revision, answer.ValidUntil.Format(time.RFC3339Nano))
	for _, entry := range answer.Entries {
		fmt.Fprintf(w, "%s  %s  %s\n", entry.Address, entry.Place, entry.Incarnation)
	}
}

type timelineQuery struct {
	Remote
	Output
	Process string    `placeholder:"NAME" help:"Only events of this instance."`
	Object  string    `placeholder:"TEXT" help:"Only events whose object contains this text."`
	Since   time.Time `placeholder:"INSTANT" help:"Only events at or after this time, such as 2026-01-02T15:04:05Z."`
}

// Run prints the timeline.
func (q *timelineQuery) Run(s *invocation) error {
	client, err := q.client()
	if err != nil {
		return err
	}
	timeline, err := client.Timeline(s.ctx, operator.EventSelection{
		Process: q.Process,
		Object:  q.Object,
		Since:   q.Since,
	})
	if err != nil {
		return err
	}
	return printResult(s, q.Output, timeline, printTimeline)
}

func printTimeline(w io.Writer, timeline timeliner.Timeline) {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, event := range timeline.Events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n",
			event.At.Time().Format("2006-01-02T15:04:05.000Z"), event.Process, event.Kind, event.Object, event.Detail)
	}
	table.Flush()
	for _, name := range timeline.Missing {
		fmt.Fprintf(w, "# no answer from %s: its events are missing\n", name)
	}
}

type versionQuery struct {
	Output
}

// versions is the result of the version query.
type versions struct {
	Version string
}

// Run prints the version.
func (q *versionQuery) Run(s *invocation) error {
	return printResult(s, q.Output, versions{Version: Version}, func(w io.Writer, result versions) {
		fmt.Fprintf(w, "hemlockport %s\n", result.Version)
	})
}
