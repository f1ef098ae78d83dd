package launcher

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// withdrawalLimit is how soon after the withdrawal of a key was accepted the key
	// must stop working.
	withdrawalLimit = 2 * time.Second
	// drainLimit is how soon an upstream that announces its stop must get no new
	// requests.
	drainLimit = 2 * time.Second
	// propagationLimit is how soon an accepted configuration must be in force on all
	// instances.
	propagationLimit = time.Second
)

// Session performs a fixed sequence of actions of an operator and a caller, and prints
// what they see. The output is the same on every run, as golden files are compared with
// it.
type Session struct {
	cluster *Cluster
	out     io.Writer
	service declarer.Service
	key     declarer.Key
	caller  *Caller
	// slowKey is the key of the team with the lowest rate, key that of the team with
	// the highest.
	slowKey declarer.Key
}

// NewSession returns a session on a cluster that has published nothing yet. It uses the
// first declared service.
func NewSession(cluster *Cluster, out io.Writer) *Session {
	session := &Session{
		cluster: cluster,
		out:     out,
	}
	for service := range cluster.Set.Services.All() {
		session.service = service
		break
	}
	for key := range cluster.Set.Keys.All() {
		if !session.mayUse(key) {
			continue
		}
		if session.key.Name == "" || session.rateOf(key) > session.rateOf(session.key) {
			session.key = key
		}
		if session.slowKey.Name == "" || session.rateOf(key) < session.rateOf(session.slowKey) {
			session.slowKey = key
		}
	}
	session.caller = NewCaller(session.service.HostNames()[0], KeyOf(session.key.Name))
	return session
}

// mayUse reports whether a key's team may use the session's service.
func (s *Session) mayUse(key declarer.Key) bool {
	team, _ := s.cluster.Set.Teams.Get(key.Team)
	return len(team.Services) == 0 || slices.Contains(team.Services, s.service.Name)
}

// rateOf returns the rate per second of a key's team.
func (s *Session) rateOf(key declarer.Key) float64 {
	team, _ := s.cluster.Set.Teams.Get(key.Team)
	return team.RatePerSecond
}

// Run performs all steps of the session, and stops at the first that fails.
func (s *Session) Run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{
			title: "The operator applies the set; it is in force on every instance.",
			run:   s.applySet,
		},
		{
			title: "A set that does not fit is refused with every fault; nothing changes.",
			run:   s.applyInvalid,
		},
		{
			title: "A caller looks up which entry instance to use, and orders there.",
			run:   s.lookUpAndOrder,
		},
		{
			title: "Requests without a key, with a wrong key, and over the team's rate are refused: not run.",
			run:   s.provokeRefusals,
		},
		{
			title: "An upstream breaks the connection after an order ran: the answer says that it may have run, and it is not sent again.",
			run:   s.loseAnswer,
		},
		{
			title: "An upstream announces its stop and gets no new work.",
			run:   s.drainUpstreams,
		},
		{
			title: "The operator withdraws a key while an answer streams: the stream breaks, the next request is refused.",
			run:   s.withdrawKey,
		},
		{
			title: "An instance is stopped: it leaves the look-ups, finishes and ends.",
			run:   s.stopInstance,
		},
		{
			title: "The time line of all processes tells what happened.",
			run:   s.countEvents,
		},
	}
	for number, step := range steps {
		fmt.Fprintf(s.out, "%d. %s\n", number+1, step.title)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("step %d: %w", number+1, err)
		}
		fmt.Fprintln(s.out)
	}
	return nil
}

// printLine prints an indented line.
func (s *Session) printLine(format string, values ...any) {
	fmt.Fprintf(s.out, "   "+format+"\n", values...)
}
