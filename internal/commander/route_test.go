package commander_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hemlockport/hemlockport/internal/commander"
	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/handler"
)

// TestRoutePrintsTheDecision guards against output that leaves out why a request would go
// where it would, and against a question that does not reach the instance whole.
func TestRoutePrintsTheDecision(t *testing.T) {
	cases := []struct {
		name    string
		output  string
		preview admitter.Preview
		want    []string
	}{
		{
			name:   "sent",
			output: "text",
			preview: admitter.Preview{
				Revision: 7,
				Route:    "view",
				Upstream: "i-2",
				Candidates: []admitter.CandidatePreview{
					{
						Name:      "i-1",
						Rank:      1,
						Obstacles: []admitter.Obstacle{admitter.NoSlot, admitter.Cold},
					},
				},
			},
			want: []string{"revision 7", "goes to: i-2", "route view", "i-1", "NoSlot,Cold"},
		},
		{
			name:   "refused",
			output: "text",
			preview: admitter.Preview{
				Refusal: &admitter.RefusalPreview{
					Reason: arbiter.UnknownService,
					Detail: "no route",
				},
			},
			want: []string{"refused: UnknownService: no route"},
		},
		{
			name:   "as JSON",
			output: "json",
			preview: admitter.Preview{
				Upstream: "i-2",
			},
			want: []string{`"Upstream":`, `"i-2"`},
		},
	}
	for _, c := range cases {
		want := previewer.Question{
			Host:   "quilts.example",
			Path:   "/patterns/1",
			Method: "POST",
			Team:   "quilters",
			Object: "quilt 1",
		}
		ask := func(_ context.Context, question previewer.Question) (previewer.Answer, error) {
			if question != want {
				t.Errorf("%s: got the question %+v, want %+v", c.name, question, want)
			}
			return previewer.Answer{
				Instance: "front-derby-1",
				Preview:  c.preview,
			}, nil
		}
		server := httptest.NewServer(responder.RouteHandler(handler.QueryFunc[previewer.Question, previewer.Answer](ask)))
		var stdout, stderr bytes.Buffer
		arguments := []string{"route", want.Host, want.Path, "--at", server.Listener.Addr().String(), "--method", want.Method,
			"--team", want.Team, "--object", want.Object, "--output", c.output}
		if code := commander.Run(t.Context(), arguments, &stdout, &stderr); code != 0 {
			t.Errorf("%s: got exit code %d and %q", c.name, code, stderr.String())
		}
		server.Close()
		for _, part := range c.want {
			if !strings.Contains(stdout.String(), part) {
				t.Errorf("%s: got %q, want %q in it", c.name, stdout.String(), part)
			}
		}
	}
}
