package receiver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// teamSet returns the set of an entry in which callerKey belongs to the given team.
func teamSet(address, team string) declarer.Set {
	return serviceSet([]string{address}).
		WithTeam(declarer.Team{
			Name: "weavers",
		}).
		WithKey(declarer.Key{
			Name: "quilters-1",
			Team: team,
			Hash: declarer.HashKey(callerKey).String(),
		})
}

// withdrawnSet returns the set of an entry in which callerKey is withdrawn.
func withdrawnSet(address string) declarer.Set {
	return teamSet(address, "quilters").WithKey(declarer.Key{
		Name: "quilters-1",
		Team: "quilters",
		Hash: declarer.HashKey(callerKey).String(),
	}.WithWithdrawn())
}

// TestChangesOfTheKeyOfASentRequest guards against requests that have run and whose results
// are lost because their key has moved or their team's rights have changed meanwhile, and
// against requests that go on after their key was withdrawn.
func TestChangesOfTheKeyOfASentRequest(t *testing.T) {
	const (
		finishMillis = 200
		// holdTime is how long the upstream holds the request after the last change.
		holdTime = 3 * finishMillis * time.Millisecond
	)
	cases := []struct {
		name string
		// changes returns the configurations that follow while the upstream runs the request.
		changes func(address string) []declarer.Set
		status  int
	}{
		{
			name: "the key moves to another team",
			changes: func(address string) []declarer.Set {
				return []declarer.Set{teamSet(address, "weavers")}
			},
			status: http.StatusOK,
		},
		{
			name: "the team may no longer use the service",
			changes: func(address string) []declarer.Set {
				team := declarer.Team{
					Name:     "quilters",
					Services: []string{"other"},
				}
				return []declarer.Set{serviceSet([]string{address}).WithTeam(team)}
			},
			status: http.StatusOK,
		},
		{
			name: "the service is removed",
			changes: func(address string) []declarer.Set {
				removed, _ := teamSet(address, "quilters").Without(declarer.KindService, "shopfront")
				return []declarer.Set{removed}
			},
			status: http.StatusOK,
		},
		{
			name: "the key is withdrawn",
			changes: func(address string) []declarer.Set {
				return []declarer.Set{withdrawnSet(address)}
			},
			status: http.StatusUnauthorized,
		},
		{
			name: "the key is withdrawn and works again",
			changes: func(address string) []declarer.Set {
				return []declarer.Set{withdrawnSet(address), teamSet(address, "quilters")}
			},
			status: http.StatusOK,
		},
		{
			name: "the key is withdrawn and given to another team",
			changes: func(address string) []declarer.Set {
				return []declarer.Set{withdrawnSet(address), teamSet(address, "weavers")}
			},
			status: http.StatusUnauthorized,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var e *entry
			var address string
			// The changes happen while the upstream runs the request.
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for i, set := range c.changes(address) {
					e.plans.Advance(*e.plans.Load().WithTable(router.New(uint64(i+2), set), time.Now()))
					e.receiver.CancelInvalid()
				}
				time.Sleep(holdTime)
				_, _ = io.WriteString(w, "ordered\n")
			}))
			t.Cleanup(upstream.Close)
			setFinish := func(options *receiver.Options) { options.FinishMillis = finishMillis }
			address = upstream.Listener.Addr().String()
			e = newEntryWith(t, setFinish, address)
			response, err := http.DefaultClient.Do(e.request(t, http.MethodPost, "/orders", strings.NewReader("quilt")))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != c.status {
				t.Errorf("got status %d, want %d", response.StatusCode, c.status)
			}
		})
	}
}

// TestMovedKeyBeforeSending guards against a request that is sent for the team that held its
// key before, after the key has moved: its answer would reach another team's caller. The
// request was admitted before and waits for its body.
func TestMovedKeyBeforeSending(t *testing.T) {
	upstream := newScriptedUpstream(t, replyWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	entry := newEntry(t, upstream.address)
	body, writer := io.Pipe()
	request := entry.request(t, http.MethodPost, "/orders", body)
	request.ContentLength = int64(len("quilt"))
	time.AfterFunc(100*time.Millisecond, func() {
		moved := router.New(2, teamSet(upstream.address, "weavers"))
		entry.plans.Advance(*entry.plans.Load().WithTable(moved, time.Now()))
		_, _ = io.WriteString(writer, "quilt")
		writer.Close()
	})
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", response.StatusCode)
	}
	requireVerdict(t, response, arbiter.NotRun, arbiter.KeyMoved)
	if received := upstream.received.Load(); received != 0 {
		t.Errorf("the upstream got %d requests, want none", received)
	}
}
