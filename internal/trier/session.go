package trier

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// withdrawalLimit is how soon a withdrawn key stops working, from acceptance.
	withdrawalLimit = 2 * time.Second
	// leaveLimit is how soon a leaving upstream gets no new work.
	leaveLimit = 2 * time.Second
	// forceLimit is how soon a configuration is in force on all instances.
	forceLimit = time.Second
)

// Session is a scripted session, as an operator and a caller see it. What it
// prints is the same on every run.
type Session struct {
	cluster *Cluster
	out     io.Writer
	service declarer.Service
	key     declarer.Key
	caller  *Caller
	// slow is the key of the team with the lowest rate, key that of the team with
	// the highest.
	slow declarer.Key
}

// NewSession returns a session on a cluster that has published nothing yet.
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
		if session.key.Name == "" || session.rate(key) > session.rate(session.key) {
			session.key = key
		}
		if session.slow.Name == "" || session.rate(key) < session.rate(session.slow) {
			session.slow = key
		}
	}
	session.caller = NewCaller(session.service.HostNames()[0], KeyOf(session.key.Name))
	return session
}

// mayUse says whether a key's team may use the session's service.
func (s *Session) mayUse(key declarer.Key) bool {
	team, _ := s.cluster.Set.Teams.Get(key.Team)
	return len(team.Services) == 0 || slices.Contains(team.Services, s.service.Name)
}

func (s *Session) rate(key declarer.Key) float64 {
	team, _ := s.cluster.Set.Teams.Get(key.Team)
	return team.RatePerSecond
}

// Run plays the session to its end.
func (s *Session) Run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{
			title: "The operator applies the set; it is in force on every instance.",
			run:   s.apply,
		},
		{
			title: "A set that does not fit is refused with every fault; nothing changes.",
			run:   s.refuse,
		},
		{
			title: "A caller looks up which entry instance to use, and orders there.",
			run:   s.order,
		},
		{
			title: "Requests without a key, with a wrong key, and over the team's rate are refused: not run.",
			run:   s.refusals,
		},
		{
			title: "An upstream breaks the connection after an order ran: the answer says that it may have run, and it is not sent again.",
			run:   s.doubt,
		},
		{
			title: "An upstream announces its stop and gets no new work.",
			run:   s.leave,
		},
		{
			title: "The operator withdraws a key while an answer streams: the stream breaks, the next request is refused.",
			run:   s.withdraw,
		},
		{
			title: "An instance is stopped: it leaves the look-ups, finishes and ends.",
			run:   s.stop,
		},
		{
			title: "The time line of all processes tells what happened.",
			run:   s.timeLine,
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

func (s *Session) say(format string, values ...any) {
	fmt.Fprintf(s.out, "   "+format+"\n", values...)
}
