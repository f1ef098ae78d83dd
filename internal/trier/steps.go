package trier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

func (s *Session) apply(ctx context.Context) error {
	accepted, err := s.cluster.Publish(ctx)
	if err != nil {
		return err
	}
	s.say("accepted: revision %d, %d objects, in force on %d of %d instances",
		accepted.Revision, accepted.Objects, s.inForce(ctx, accepted.Revision), len(s.cluster.Instances))
	return nil
}

// inForce counts the instances on which at least that revision is in force.
func (s *Session) inForce(ctx context.Context, revision uint64) int {
	count := 0
	for _, instance := range s.cluster.Instances {
		status, err := instance.Operator.Status(ctx)
		if err == nil && status.Revision >= revision {
			count++
		}
	}
	return count
}

func (s *Session) refuse(ctx context.Context) error {
	entry := s.cluster.Instances[0]
	_, err := entry.Operator.Change(ctx, publisher.Change{
		Document: declarer.Document{
			Team: []declarer.Team{
				{
					Name: "Hasty Team",
				},
			},
			Key: []declarer.Key{
				{
					Name: "stray",
					Team: "nobody",
					Hash: "plain",
				},
			},
		},
	})
	var failure *operator.Failure
	if !errors.As(err, &failure) {
		return fmt.Errorf("the set was not refused: %v", err)
	}
	for _, fault := range failure.Faults {
		s.say("%s", fault)
	}
	objects, err := entry.Operator.Objects(ctx, reporter.Selection{})
	if err != nil {
		return err
	}
	s.say("still in force: revision %d", objects.Revision)
	return nil
}

func (s *Session) order(ctx context.Context) error {
	asked := s.cluster.Instances[len(s.cluster.Instances)-1]
	client := s.clientIn(s.cluster.Instances[0].Place)
	located, err := s.caller.Lookup(ctx, asked.CallerAddress(), client)
	if err != nil {
		return err
	}
	s.sayNearest(located)
	if len(located.Entries) == 0 {
		return errors.New("the look-up named no instance")
	}
	s.report("order", s.caller.Order(ctx, Call{
		Instance: located.Entries[0].Address,
		Method:   http.MethodPost,
		Path:     "/orders/1",
		Body:     "one quilt",
		Order:    "order-1",
	}))
	return nil
}

// sayNearest tells the best entry of a look-up. Those that are equally far take
// turns from look-up to look-up, so the others are only counted.
func (s *Session) sayNearest(located receiver.Located) {
	if len(located.Entries) > 0 {
		s.say("nearest: the instance in %s; %d more are named", located.Entries[0].Place, len(located.Entries)-1)
	}
}

// clientIn returns an address in a place's first client block, or a loopback one.
func (s *Session) clientIn(place string) string {
	declared, _ := s.cluster.Set.Places.Get(place)
	if len(declared.ClientBlocks) == 0 {
		return "127.0.0.1"
	}
	return firstAddress(declared.ClientBlocks[0])
}

func (s *Session) report(what string, outcome Outcome) {
	switch {
	case outcome.Err != nil:
		s.say("%s: the connection broke", what)
	case outcome.Reason != "":
		s.say("%s: %d %s, %s", what, outcome.Status, outcome.Reason, outcome.Verdict)
	default:
		s.say("%s: %d, %s", what, outcome.Status, outcome.Verdict)
	}
}

func (s *Session) refusals(ctx context.Context) error {
	entry := s.cluster.Instances[0].CallerAddress()
	call := Call{
		Instance: entry,
		Method:   http.MethodPost,
		Path:     "/orders/2",
		Order:    "order-2",
	}
	s.report("without a key", NewCaller(s.caller.Service, "").Do(ctx, call))
	s.report("with a wrong key", NewCaller(s.caller.Service, "guess").Do(ctx, call))
	s.report("over the rate", s.overRate(ctx, call))
	return nil
}

// flood is how many requests at once are too many for any slow team.
const flood = 200

// overRate sends more requests at once than a slow team may make, and returns the
// outcome of one that was refused. Requests wait for their team's rate for a while
// first.
func (s *Session) overRate(ctx context.Context, call Call) Outcome {
	call.Method = http.MethodGet
	outcomes := make([]Outcome, flood)
	var group errgroup.Group
	for i := range outcomes {
		group.Go(func() error {
			outcomes[i] = NewCaller(s.caller.Service, KeyOf(s.slow.Name)).Do(ctx, call)
			return nil
		})
	}
	// The calls return no error.
	_ = group.Wait()
	for _, outcome := range outcomes {
		if outcome.Reason != "" {
			return outcome
		}
	}
	return outcomes[0]
}

func (s *Session) doubt(ctx context.Context) error {
	s.setFaults(upstreamer.Faults{
		DropAfter: true,
	})
	s.report("order", s.caller.Order(ctx, Call{
		Instance: s.cluster.Instances[0].CallerAddress(),
		Method:   http.MethodPost,
		Path:     "/orders/3",
		Order:    "order-3",
	}))
	s.setFaults(upstreamer.Faults{})
	s.say("the order ran %d time(s)", s.runs("order-3"))
	return nil
}

func (s *Session) setFaults(faults upstreamer.Faults) {
	for _, upstream := range s.cluster.Upstreams {
		upstream.SetFaults(faults)
	}
}

func (s *Session) runs(order string) int {
	runs := 0
	for _, upstream := range s.cluster.Upstreams {
		runs += upstream.Runs(order)
	}
	return runs
}

func (s *Session) leave(ctx context.Context) error {
	place := s.cluster.Instances[0].Place
	near := s.upstreamsIn(place)
	for _, upstream := range near {
		upstream.SetFaults(upstreamer.Faults{
			Leaving: true,
		})
	}
	idle := Await(ctx, leaveLimit, func() bool { return s.health(ctx, near, "Leaving") })
	s.say("no new work within %s: %t", leaveLimit, idle)
	outcome := s.caller.Order(ctx, Call{
		Instance: s.cluster.Instances[0].CallerAddress(),
		Method:   http.MethodPost,
		Path:     "/orders/4",
		Order:    "order-4",
	})
	s.report("order", outcome)
	there := 0
	for _, upstream := range near {
		there += upstream.Runs("order-4")
	}
	s.say("it ran %d time(s) in %s and %d time(s) in all", there, place, s.runs("order-4"))
	s.setFaults(upstreamer.Faults{})
	return nil
}

// upstreamsIn returns the service's upstreams in a place.
func (s *Session) upstreamsIn(place string) []*Upstream {
	var found []*Upstream
	version, _ := s.cluster.Set.Versions.Get(s.service.Version)
	for _, declared := range version.Upstreams {
		if declared.Place == place {
			found = append(found, s.cluster.Upstreams[declared.Name])
		}
	}
	return found
}

// health says whether the first instance sees all upstreams in a state.
func (s *Session) health(ctx context.Context, upstreams []*Upstream, state string) bool {
	status, err := s.cluster.Instances[0].Operator.Status(ctx)
	if err != nil {
		return false
	}
	seen := 0
	for _, known := range status.Upstreams {
		for _, upstream := range upstreams {
			if known.Address == upstream.Address && known.Health == state {
				seen++
			}
		}
	}
	return seen == len(upstreams)
}

// streamParts is how many parts a streamed answer has: enough for 20 s.
const streamParts = 1000

func (s *Session) withdraw(ctx context.Context) error {
	entry := s.cluster.Instances[0]
	stream, err := s.caller.Open(ctx, Call{
		Instance: entry.CallerAddress(),
		Method:   http.MethodGet,
		Path:     fmt.Sprintf("/orders/1?stream=%d", streamParts),
	})
	if err != nil {
		return err
	}
	defer stream.Body.Close()
	other := s.cluster.Instances[len(s.cluster.Instances)-1]
	accepted, err := other.Operator.Change(ctx, publisher.Change{
		Withdraw: []string{s.key.Name},
		By:       "try",
	})
	if err != nil {
		return err
	}
	acceptedAt := time.Now()
	_, err = io.Copy(io.Discard, stream.Body)
	s.say("accepted by the instance in %s: revision %d", other.Place, accepted.Revision)
	s.say("the stream through the instance in %s broke within %s: %t",
		entry.Place, withdrawalLimit, err != nil && time.Since(acceptedAt) < withdrawalLimit)
	all := Await(ctx, forceLimit, func() bool {
		return s.inForce(ctx, accepted.Revision) == len(s.cluster.Instances)
	})
	s.say("in force on all instances within %s: %t", forceLimit, all)
	s.report("next request on the same connection", s.caller.Do(ctx, Call{
		Instance: entry.CallerAddress(),
		Method:   http.MethodGet,
		Path:     "/orders/1",
	}))
	return nil
}

func (s *Session) stop(ctx context.Context) error {
	first := s.cluster.Instances[0]
	other := s.cluster.Instances[len(s.cluster.Instances)-1]
	if err := first.Stop(); err != nil {
		return err
	}
	s.say("the instance in %s ended without error", first.Place)
	located, err := s.caller.Lookup(ctx, other.CallerAddress(), s.clientIn(first.Place))
	if err != nil {
		return err
	}
	s.sayNearest(located)
	return nil
}

// told are the kinds of events whose order is the same on every run.
var told = []string{"ChangeAccepted", "DrainBegun", "PeerLeaving"}

func (s *Session) timeLine(ctx context.Context) error {
	other := s.cluster.Instances[len(s.cluster.Instances)-1]
	line, err := other.Operator.TimeLine(ctx, operator.Selection{})
	if err != nil {
		return err
	}
	for _, kind := range told {
		count := 0
		for _, event := range line.Events {
			if event.Kind == kind {
				count++
			}
		}
		s.say("%s: %d", kind, count)
	}
	return nil
}
