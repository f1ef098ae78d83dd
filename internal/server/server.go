// Package server runs an entry instance on this project's own platform
// (configurer.AdapterOwn); package steerer runs one on an external platform. The
// instance publishes operators' changes itself, gets the published configuration from
// the store or from peers, claims a seat and takes over those of dead instances, probes
// upstreams, and drains. The packages below pkg decide; this one starts tasks and
// carries results between them. It advances no moves: their shares are declared.
//
// A seat is the right to one part of every limit, held by one incarnation; the seats are
// declared by failure domain. The roster is the list of the seats that are held, with
// their holders. Team limits are split by seat (package splitter), and not by demand as
// on an external platform (package apportioner).
package server

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/adapter"
	"github.com/hemlockport/hemlockport/internal/command/borrower"
	"github.com/hemlockport/hemlockport/internal/command/editor"
	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/internal/command/replicator"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/query/exporter"
	"github.com/hemlockport/hemlockport/internal/query/prober"
	"github.com/hemlockport/hemlockport/internal/query/timeliner"
	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/internal/stopper"
	"github.com/hemlockport/hemlockport/internal/translator"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/applier"
	"github.com/hemlockport/hemlockport/pkg/command/budgeter"
	"github.com/hemlockport/hemlockport/pkg/command/claimer"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/recorder"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/locator"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// Server is one entry instance.
type Server struct {
	settings configurer.Settings
	log      zerolog.Logger
	clock    *timestamper.Clock
	recorder *recorder.Recorder
	registry metrics.Registry
	metrics  serverMetrics

	// self describes this instance. Its seat is not set here; the roster has it.
	self      registrar.Member
	listeners listeners
	store     storer.Store
	lister    storer.Lister
	plans     *holder.Cell[admitter.Plan]
	locators  *holder.Cell[locator.Locator]
	applier   *applier.Applier
	// freshness records when the configuration was last confirmed to be the newest.
	freshness  *admitter.Freshness
	publisher  *publisher.Publisher
	claimer    *claimer.Claimer
	hub        *linker.Hub
	timeliner  *timeliner.Timeliner
	replicator *replicator.Replicator
	borrower   *borrower.Borrower
	forwarder  *forwarder.Forwarder
	receiver   *receiver.Receiver
	drainer    *drainer.Drainer
	inFlight   *tracker.Tracker[receiver.InFlightRequest]
	prober     *prober.Prober

	// rosterMutex serializes the writers of roster.
	rosterMutex sync.Mutex
	// roster is the newest list of the seats that are held; never nil.
	roster atomic.Pointer[registrar.Roster]
	// seats are the seats that this instance holds.
	seats heldSeats
	// acceptedRevision is the highest published revision that this instance has seen in
	// the store. It may not be in force here yet.
	acceptedRevision atomic.Uint64
	// fetching is set while a fetch from peers runs.
	fetching atomic.Bool
	// leaving is set once the drain has begun.
	leaving atomic.Bool
	// inForceNanos is when the configuration came into force, in nanoseconds since
	// the Unix epoch, or 0 if there is none.
	inForceNanos atomic.Int64
	// storeLostNanos is when the platform's store stopped answering, in nanoseconds
	// since the Unix epoch, or 0 while it answers.
	storeLostNanos atomic.Int64

	// locatorMutex serializes the writers of locators and guards generation, blocks
	// and blocksRevision. No request locks it.
	locatorMutex sync.Mutex
	// generation is the number of the newest locator; each new one has the next number.
	generation uint64
	// blocks are the client address blocks that revision blocksRevision declares.
	blocks         *locator.Blocks
	blocksRevision uint64

	// lifecycle starts and ends all tasks.
	lifecycle *stopper.Stopper
}

// New returns an instance and opens its listeners. The settings must have been
// checked.
func New(settings configurer.Settings, log zerolog.Logger) (*Server, error) {
	registry := metrics.NewRegistry()
	opened, err := openListeners(settings, registry, log.With().Str("instance", settings.Name).Logger())
	if err != nil {
		return nil, err
	}
	platform, err := adapter.New(settings.Platform.Address, settings.Platform.Token)
	if err != nil {
		fronter.Close(opened.callers, opened.peers, opened.operators)
		return nil, eris.Wrap(err, "Platform.Address")
	}
	self := registrar.Member{
		Incarnation:   settings.Name + "-" + rand.Text(),
		Name:          settings.Name,
		Place:         settings.Place,
		CallerAddress: opened.callers.Addr().String(),
		PeerAddress:   opened.peers.Addr().String(),
	}
	clock := timestamper.New(time.Now)
	budgeted := budgeter.New(platform, budgeter.Budget{
		ReadsPerSecond:  settings.Platform.ReadsPerSecond,
		WritesPerSecond: settings.Platform.WritesPerSecond,
	}, newCallCounter(registry))
	s := &Server{
		settings:  settings,
		log:       log.With().Str("instance", settings.Name).Logger(),
		clock:     clock,
		recorder:  recorder.New(settings.Name, clock, recorder.DefaultCapacity),
		registry:  registry,
		self:      self,
		listeners: opened,
		store:     budgeted,
		lister:    budgeted,
		plans:     holder.New[admitter.Plan](),
		locators:  holder.New[locator.Locator](),
		publisher: publisher.New(budgeted, encoder.CBOR[publisher.Head]{}, encoder.CBOR[declarer.Document]{}),
		prober:    prober.New(),
		inFlight:  tracker.New[receiver.InFlightRequest](fronter.MaxInFlight(settings)),
		lifecycle: stopper.New(),
		drainer:   drainer.New(time.Now()),
	}
	s.freshness = admitter.NewFreshness(time.Now())
	s.claimer = s.newClaimer()
	s.roster.Store(&registrar.Roster{})
	s.applier = applier.New(self, s.plans)
	s.metrics = newServerMetrics(s.registry)
	s.assemble()
	return s, nil
}

// assemble creates the components that call back into the server.
func (s *Server) assemble() {
	s.hub = linker.New(linker.Options{
		Self:        s.self,
		Secret:      s.settings.Peers.Secret,
		Clock:       s.clock,
		TLS:         s.listeners.peerTLS,
		Heartbeat:   s.heartbeat,
		OnHeartbeat: s.heartbeatReceived,
		OnChange:    s.peerChanged,
		OnLinkLost:  s.peerLost,
		FrameBytes:  fronter.BoundsOf(s.settings).FrameBytes,
		OnRefused:   func() { s.listeners.peers.Count(fronter.RefusedFrame) },
	})
	s.registerTopics()
	s.timeliner = timeliner.New(s.hub, s.recorder)
	s.replicator = replicator.New(s.hub, s.recorder)
	s.borrower = borrower.New(s.hub, s.plans, s.registry)
	s.forwarder = forwarder.New(
		forwarder.WithDialMillis(s.settings.Upstreams.DialMillis),
		forwarder.WithConnections(s.settings.Upstreams.MaxConnections),
		forwarder.WithIdleConnections(fronter.BoundsOf(s.settings).IdleUpstream),
	)
	s.receiver = receiver.New(receiver.Options{
		Admitter:          admitter.New(s.plans, s.freshness),
		Forwarder:         s.forwarder,
		InFlight:          s.inFlight,
		Budgets:           retrier.NewBudgets(s.settings.Retries.Ratio, s.settings.Retries.Reserve),
		Drainer:           s.drainer,
		Attempts:          s.settings.Retries.Attempts,
		FinishMillis:      s.settings.Callers.FinishMillis,
		Metrics:           exporter.NewRequestCounters(s.registry),
		Translator:        translator.Native{},
		LookupHandler:     receiver.NewLookupHandler(s.locators, func() { s.metrics.lookups.Inc(1) }),
		WaitingForRate:    s.borrower.PollNow,
		UpstreamSuspected: s.upstreamSuspected,
	})
}

// newClaimer returns a claimer for one goroutine.
func (s *Server) newClaimer() *claimer.Claimer {
	return claimer.New(s.store, s.lister, encoder.CBOR[registrar.Member]{})
}

// Name returns the instance's name.
func (s *Server) Name() string {
	return s.settings.Name
}

// CallerAddress returns the address at which callers reach the instance.
func (s *Server) CallerAddress() string {
	return s.self.CallerAddress
}

// OperatorAddress returns the address at which operators reach the instance.
func (s *Server) OperatorAddress() string {
	return s.listeners.operators.Addr().String()
}

// SentToPeers returns how many frames and bytes the instance has sent to its peers.
func (s *Server) SentToPeers() (frames, bytes uint64) {
	return s.hub.Sent()
}

// Halt ends the instance at once; Run returns stopper.ErrHalted.
func (s *Server) Halt() {
	s.lifecycle.Halt()
}

// Reload records that the settings in force stay: an instance on this project's own
// platform applies changed settings when it starts again.
func (s *Server) Reload(configurer.Settings) {
	s.recordEvent("Reloaded", s.self.Incarnation, "settings come into force at the next start")
}

// Run serves until ctx ends, then drains and returns nil, or stopper.ErrHalted if Halt
// came first.
func (s *Server) Run(ctx context.Context) error {
	err := s.lifecycle.Run(ctx, s.start, s.drain)
	s.forwarder.Close()
	return err
}

// start starts the listeners and the background tasks.
func (s *Server) start(group *errgroup.Group, work context.Context) stopper.StopServing {
	stopServing := s.startListeners(group, work)
	s.startTasks(group, work)
	s.recordEvent("Started", s.self.Incarnation, "callers at "+s.self.CallerAddress)
	return stopServing
}

// startTasks starts the background tasks.
func (s *Server) startTasks(group *errgroup.Group, work context.Context) {
	tasks := []func(context.Context) error{
		s.hub.Run,
		s.watchConfig,
		s.watchRoster,
		s.acquireSeat,
		s.takeOverSeats,
		s.probeUpstreams,
		s.runMaintenance,
		s.replicator.Run,
		s.borrower.Run,
		s.applyLimitIncreases,
		editor.New(s.store, handler.CommandFunc[publisher.Change, publisher.Accepted](s.publishChange), s.isFirstInstance).Run,
	}
	for _, task := range tasks {
		group.Go(func() error { return task(work) })
	}
}

// recordEvent records a change of state as an event on the timeline and as one log
// line.
func (s *Server) recordEvent(kind, object, detail string) {
	s.recorder.Record(kind, object, detail)
	s.log.Info().Str("object", object).Str("detail", detail).Msg(kind)
}
