package launcher

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

// applySet publishes the cluster's set and prints on how many instances it is in force.
func (s *Session) applySet(ctx context.Context) error {
	accepted, err := s.cluster.Publish(ctx)
	if err != nil {
		return err
	}
	s.printLine("accepted: revision %d, %d objects, in force on %d of %d instances",
		accepted.Revision, accepted.Objects, s.countInForce(ctx, accepted.Revision), len(s.cluster.Instances))
	return nil
}

// countInForce counts the instances on which at least that revision is in force.
func (s *Session) countInForce(ctx context.Context, revision uint64) int {
	count := 0
	for _, instance := range s.cluster.Instances {
		status, err := instance.Operator.Status(ctx)
		if err == nil && status.Revision >= revision {
			count++
		}
	}
	return count
}

// applyInvalid applies a set with invalid objects and prints the faults of the refusal.
func (s *Session) applyInvalid(ctx context.Context) error {
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
	var failure *operator.StatusError
	if !errors.As(err, &failure) {
		return fmt.Errorf("apply an invalid set: got error %v, want a refusal", err)
	}
	for _, fault := range failure.Faults {
		s.printLine("%s", fault)
	}
	objects, err := entry.Operator.Objects(ctx, reporter.Selection{})
	if err != nil {
		return err
	}
	s.printLine("still in force: revision %d", objects.Revision)
	return nil
}

// lookUpAndOrder looks up an instance at the last instance, for a client near the first,
// and sends an order to the instance found.
func (s *Session) lookUpAndOrder(ctx context.Context) error {
	last := s.cluster.Instances[len(s.cluster.Instances)-1]
	client := s.clientAddressIn(s.cluster.Instances[0].Place)
	answer, err := s.caller.Lookup(ctx, last.CallerAddress(), client)
	if err != nil {
		return err
	}
	s.printNearest(answer)
	if len(answer.Entries) == 0 {
		return fmt.Errorf("look-up of %q for client %s at %s returned no instance", s.service.Name, client, last.CallerAddress())
	}
	s.printOutcome("order", s.caller.DoWhileOverRate(ctx, Call{
		Instance: answer.Entries[0].Address,
		Method:   http.MethodPost,
		Path:     "/orders/1",
		Body:     "one quilt",
		Order:    "order-1",
	}))
	return nil
}

// printNearest prints the first instance of a lookup and the number of the others.
// Instances that are equally far rotate from lookup to lookup, so that their order
// would differ between runs.
func (s *Session) printNearest(answer receiver.LookupAnswer) {
	if len(answer.Entries) > 0 {
		s.printLine("nearest: the instance in %s; %d more are named", answer.Entries[0].Place, len(answer.Entries)-1)
	}
}

// clientAddressIn returns an address in the first client block of a failure domain, or
// a loopback address if it has none.
func (s *Session) clientAddressIn(place string) string {
	declared, _ := s.cluster.Set.Places.Get(place)
	if len(declared.ClientBlocks) == 0 {
		return "127.0.0.1"
	}
	return firstAddress(declared.ClientBlocks[0])
}

// printOutcome prints the outcome of a request; request describes it.
func (s *Session) printOutcome(request string, outcome Outcome) {
	switch {
	case outcome.Err != nil:
		s.printLine("%s: the connection broke", request)
	case outcome.Reason != "":
		s.printLine("%s: %d %s, %s", request, outcome.Status, outcome.Reason, outcome.Verdict)
	default:
		s.printLine("%s: %d, %s", request, outcome.Status, outcome.Verdict)
	}
}

// provokeRefusals sends requests that must be refused, and prints the reasons.
func (s *Session) provokeRefusals(ctx context.Context) error {
	entry := s.cluster.Instances[0].CallerAddress()
	call := Call{
		Instance: entry,
		Method:   http.MethodPost,
		Path:     "/orders/2",
		Order:    "order-2",
	}
	s.printOutcome("without a key", NewCaller(s.caller.Service, "").Do(ctx, call))
	s.printOutcome("with a wrong key", NewCaller(s.caller.Service, "guess").Do(ctx, call))
	s.printOutcome("over the rate", s.overRate(ctx, call))
	return nil
}

// floodSize is how many requests at once exceed the limit of any slow team.
const floodSize = 200

// overRate sends more requests at once than the slow team may make, and returns the
// outcome of one that was refused. All are sent at once because a request waits a while
// for its team's rate before it is refused.
func (s *Session) overRate(ctx context.Context, call Call) Outcome {
	call.Method = http.MethodGet
	outcomes := make([]Outcome, floodSize)
	var group errgroup.Group
	for i := range outcomes {
		group.Go(func() error {
			outcomes[i] = NewCaller(s.caller.Service, KeyOf(s.slowKey.Name)).Do(ctx, call)
			return nil
		})
	}
	// The functions of the group return no error.
	_ = group.Wait()
	for _, outcome := range outcomes {
		if outcome.Reason != "" {
			return outcome
		}
	}
	return outcomes[0]
}

// loseAnswer sends an order whose connection breaks after it ran, and prints how often
// it ran, as it must not be sent again.
func (s *Session) loseAnswer(ctx context.Context) error {
	s.setFaults(upstreamer.Faults{
		DropAfter: true,
	})
	s.printOutcome("order", s.caller.DoWhileOverRate(ctx, Call{
		Instance: s.cluster.Instances[0].CallerAddress(),
		Method:   http.MethodPost,
		Path:     "/orders/3",
		Order:    "order-3",
	}))
	s.setFaults(upstreamer.Faults{})
	s.printLine("the order ran %d time(s)", s.countRuns("order-3"))
	return nil
}

// setFaults replaces the faults of all upstreams.
func (s *Session) setFaults(faults upstreamer.Faults) {
	for _, upstream := range s.cluster.Upstreams {
		upstream.SetFaults(faults)
	}
}

// countRuns returns how often an order ran on all upstreams.
func (s *Session) countRuns(order string) int {
	runs := 0
	for _, upstream := range s.cluster.Upstreams {
		runs += upstream.Runs(order)
	}
	return runs
}

// drainUpstreams lets all upstreams of the first instance's failure domain announce their
// stop, and prints where the next order ran.
func (s *Session) drainUpstreams(ctx context.Context) error {
	place := s.cluster.Instances[0].Place
	local := s.upstreamsIn(place)
	for _, upstream := range local {
		upstream.SetFaults(upstreamer.Faults{
			Leaving: true,
		})
	}
	idle := Await(ctx, drainLimit, func() bool { return s.allInState(ctx, local, "Leaving") })
	s.printLine("no new work within %s: %t", drainLimit, idle)
	outcome := s.caller.DoWhileOverRate(ctx, Call{
		Instance: s.cluster.Instances[0].CallerAddress(),
		Method:   http.MethodPost,
		Path:     "/orders/4",
		Order:    "order-4",
	})
	s.printOutcome("order", outcome)
	localRuns := 0
	for _, upstream := range local {
		localRuns += upstream.Runs("order-4")
	}
	s.printLine("it ran %d time(s) in %s and %d time(s) in all", localRuns, place, s.countRuns("order-4"))
	s.setFaults(upstreamer.Faults{})
	return nil
}

// upstreamsIn returns the upstreams of the service's version in a failure domain.
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

// allInState reports whether the first instance reports all given upstreams in a health
// state.
func (s *Session) allInState(ctx context.Context, upstreams []*Upstream, state string) bool {
	status, err := s.cluster.Instances[0].Operator.Status(ctx)
	if err != nil {
		return false
	}
	matching := 0
	for _, reported := range status.Upstreams {
		for _, upstream := range upstreams {
			if reported.Address == upstream.Address && reported.Health == state {
				matching++
			}
		}
	}
	return matching == len(upstreams)
}

// streamParts is how many parts a streamed answer has. At one part every 20 ms the
// stream lasts 20 s, longer than the withdrawal of its key may take.
const streamParts = 1000

// withdrawKey withdraws the session's key through the last instance while an answer
// streams through the first.
func (s *Session) withdrawKey(ctx context.Context) error {
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
	last := s.cluster.Instances[len(s.cluster.Instances)-1]
	accepted, err := last.Operator.Change(ctx, publisher.Change{
		Withdraw: []string{s.key.Name},
		By:       "try",
	})
	if err != nil {
		return err
	}
	acceptedAt := time.Now()
	_, err = io.Copy(io.Discard, stream.Body)
	s.printLine("accepted by the instance in %s: revision %d", last.Place, accepted.Revision)
	s.printLine("the stream through the instance in %s broke within %s: %t",
		entry.Place, withdrawalLimit, err != nil && time.Since(acceptedAt) < withdrawalLimit)
	everywhere := Await(ctx, propagationLimit, func() bool {
		return s.countInForce(ctx, accepted.Revision) == len(s.cluster.Instances)
	})
	s.printLine("in force on all instances within %s: %t", propagationLimit, everywhere)
	s.printOutcome("next request on the same connection", s.caller.Do(ctx, Call{
		Instance: entry.CallerAddress(),
		Method:   http.MethodGet,
		Path:     "/orders/1",
	}))
	return nil
}

// stopInstance stops the first instance and looks up an instance for a client near it at
// the last one.
func (s *Session) stopInstance(ctx context.Context) error {
	first := s.cluster.Instances[0]
	last := s.cluster.Instances[len(s.cluster.Instances)-1]
	if err := first.Stop(); err != nil {
		return err
	}
	s.printLine("the instance in %s ended without error", first.Place)
	answer, err := s.caller.Lookup(ctx, last.CallerAddress(), s.clientAddressIn(first.Place))
	if err != nil {
		return err
	}
	s.printNearest(answer)
	return nil
}

// countedKinds are the kinds of events whose number is the same on every run.
var countedKinds = []string{"ChangeAccepted", "DrainBegun", "PeerLeaving"}

// countEvents prints how many events of some kinds the timeline of all instances holds.
func (s *Session) countEvents(ctx context.Context) error {
	last := s.cluster.Instances[len(s.cluster.Instances)-1]
	timeline, err := last.Operator.Timeline(ctx, operator.EventSelection{})
	if err != nil {
		return err
	}
	for _, kind := range countedKinds {
		count := 0
		for _, event := range timeline.Events {
			if event.Kind == kind {
				count++
			}
		}
		s.printLine("%s: %d", kind, count)
	}
	return nil
}
