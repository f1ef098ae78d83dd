package usagereporter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// harness runs one reporter in virtual time against a store and a platform in memory.
type harness struct {
	t        *testing.T
	reporter *Reporter
	now      leaser.Instant
	fleet    Fleet
	// value and position are the object in the store, and reads counts its reads.
	value    []byte
	position storer.Position
	reads    int
	// loseAnswers and storeDown are faults of the store.
	loseAnswers int
	storeDown   bool
	// calls are those that were made, and callErr is what they return.
	calls   []Call
	callErr error
	// onCall, if set, runs before a call asks whether it may be sent.
	onCall func()
}

var errTest = errors.New("test")

func newHarness(t *testing.T) *harness {
	t.Helper()
	self := registrar.Member{
		Name:        "own",
		Incarnation: "own-1",
		Place:       "derby",
	}
	place := Place{
		Name:    "derby",
		Members: []registrar.Member{self},
	}
	h := &harness{
		t: t,
		fleet: Fleet{
			Eligible: true,
			Place:    place,
			Places:   []Place{place},
		},
		position: storer.Position{
			Era: 1,
		},
	}
	settings := configurer.Defaults().Duty
	h.reporter = New(Options{
		Settings: settings,
		Self:     self,
		Hub: linker.New(linker.Options{
			Self:  self,
			Clock: timestamper.New(time.Now),
		}),
		Record:   h,
		Call:     h.call,
		Fleet:    func(string) Fleet { return h.fleet },
		Leaving:  func() bool { return h.fleet.Leaving },
		Log:      zerolog.Nop(),
		Registry: metrics.NewRegistry(),
	})
	h.now = h.reporter.now()
	started, from := time.Now(), h.now
	h.reporter.now = func() leaser.Instant { return h.now }
	h.reporter.wall = func() time.Time { return started.Add(h.now - from) }
	return h
}

// Read implements RecordStore.
func (h *harness) Read(context.Context) ([]byte, storer.Position, error) {
	h.reads++
	if h.storeDown {
		return nil, storer.Position{}, storer.NotSent("read", errTest)
	}
	return h.value, h.position, nil
}

// Write implements RecordStore.
func (h *harness) Write(_ context.Context, value []byte, revision uint64) (storer.Position, error) {
	if h.storeDown {
		return storer.Position{}, storer.NotSent("write", errTest)
	}
	if revision != h.position.Revision {
		return storer.Position{}, &storer.Error{
			Verdict: arbiter.NotRun,
			Err:     storer.ErrConflict,
		}
	}
	h.value = value
	h.position.Revision++
	if h.loseAnswers > 0 {
		h.loseAnswers--
		return storer.Position{}, &storer.Error{
			Verdict: arbiter.MayHaveRun,
			Err:     storer.ErrUnavailable,
		}
	}
	return h.position, nil
}

func (h *harness) call(_ context.Context, call Call) error {
	if h.onCall != nil {
		h.onCall()
	}
	if !call.Permitted() {
		return errTest
	}
	h.calls = append(h.calls, call)
	return h.callErr
}

// run lets time pass.
func (h *harness) run(duration time.Duration) {
	for end := h.now + duration; h.now < end; h.now += tickInterval {
		h.reporter.Count("team", time.Now())
		h.reporter.tick()
		for h.reporter.act(h.t.Context()) {
		}
	}
}

// record returns the record in the store.
func (h *harness) record() leaser.Record[ledger] {
	h.t.Helper()
	decoded, err := recordCodec.Decode(h.value)
	if err != nil {
		h.t.Fatal(err)
	}
	return decoded
}

// TestHolderGivesTheDutyUp checks that a holder that cannot know or send the counts releases the
// duty, and makes no call after that.
func TestHolderGivesTheDutyUp(t *testing.T) {
	cases := []struct {
		name         string
		fail         func(h *harness)
		wantFailures int
	}{
		{
			name: "cut off from its peers: its own counts would be reported as those of all",
			fail: func(h *harness) { h.fleet.Eligible = false },
		},
		{
			name:         "cut off from the platform: others may reach it",
			fail:         func(h *harness) { h.callErr = errTest },
			wantFailures: 1,
		},
		{
			name: "stopping: the successor need not wait for the lease",
			fail: func(h *harness) {
				h.fleet.Eligible = false
				h.fleet.Leaving = true
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.run(20 * time.Second)
			if len(h.calls) == 0 {
				t.Fatal("got no calls before the failure")
			}
			c.fail(h)
			for h.run(tickInterval); !h.record().Released; h.run(tickInterval) {
				if h.now > h.reporter.state.CallFrom()+time.Minute {
					t.Fatal("the duty was not released")
				}
			}
			calls := len(h.calls)
			h.run(5 * time.Second)
			if got := len(h.calls); got != calls {
				t.Errorf("got %d calls after the release", got-calls)
			}
			if got := h.record().Value.Failures; got != c.wantFailures {
				t.Errorf("got %d failures, want %d", got, c.wantFailures)
			}
		})
	}
}

// TestLostAnswerOfTheStore checks that the holder reads the record before it sends a report whose
// write got no answer, and sends what it finds.
func TestLostAnswerOfTheStore(t *testing.T) {
	h := newHarness(t)
	h.run(20 * time.Second)
	calls, reads := len(h.calls), h.reads
	h.loseAnswers = 1
	h.run(8 * time.Second)
	if h.reads == reads {
		t.Fatal("got no read after a lost answer")
	}
	sent := map[int64]int64{}
	for _, call := range h.calls[calls:] {
		sent[call.Window] = call.Counts.Total()
	}
	for _, report := range h.record().Value.Reports {
		if total, found := sent[report.Window]; found && total != report.Counts.Total() {
			t.Errorf("window %d: got %d requests sent, %d recorded", report.Window, total, report.Counts.Total())
		}
	}
	if len(sent) == 0 {
		t.Fatal("got no calls after a lost answer")
	}
}

// TestCallIsNotSentAfterAPause checks that a call which was begun before the process was suspended
// is not sent when the lease has expired meanwhile.
func TestCallIsNotSentAfterAPause(t *testing.T) {
	h := newHarness(t)
	h.run(20 * time.Second)
	calls := len(h.calls)
	h.onCall = func() {
		h.now += 10 * time.Second
		h.onCall = nil
		h.storeDown = true
	}
	h.run(20 * time.Second)
	if got := len(h.calls); h.onCall != nil || got != calls {
		t.Fatalf("got %d calls after the pause, want none while the lease cannot be renewed", got-calls)
	}
	h.storeDown = false
	h.run(20 * time.Second)
	if len(h.calls) == calls {
		t.Fatal("got no calls after the store has returned")
	}
}

// TestSilentPlatform checks that a holder whose calls get no answer at all gives the duty up early
// enough for the successor to report the window in time.
func TestSilentPlatform(t *testing.T) {
	const latest = 6 * time.Second
	h := newHarness(t)
	h.run(20 * time.Second)
	h.callErr = ErrUnanswered
	var begun leaser.Instant
	h.onCall = func() {
		if begun == 0 {
			begun = h.now
		}
		h.now += callTimeout
	}
	for h.run(tickInterval); !h.record().Released; h.run(tickInterval) {
		if begun != 0 && h.now-begun > time.Minute {
			t.Fatal("the duty was not released")
		}
	}
	// The first call follows the window's end by the time after which a window is recorded.
	if age := h.reporter.schedule.Settle + h.now - begun; age > latest {
		t.Fatalf("the duty was released %v after the window's end, want at most %v", age, latest)
	}
}
