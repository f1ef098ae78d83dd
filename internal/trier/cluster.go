// Package trier runs a whole small deployment inside one process, on loopback: a
// platform's stand-in, entry instances, upstreams and a caller.
package trier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/server"
	"github.com/hemlockport/hemlockport/internal/standin/platformer"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

const (
	// OperatorKey is the operators' key of every trial.
	OperatorKey = "try-operator-key"
	// peerSecret is the peers' secret of every trial.
	peerSecret = "try-peer-secret-0123456789"
	// upstreamsPerPlace is how many upstreams of a version a trial runs in a place.
	upstreamsPerPlace = 2
	// startLimit bounds the time until all instances are ready.
	startLimit = 20 * time.Second
	// pollInterval is the time between two looks at whether they are.
	pollInterval = 10 * time.Millisecond
	// workMillis is how long an upstream works on a request, in milliseconds.
	workMillis = 5
)

// Cluster is a running trial.
type Cluster struct {
	// Set is what the trial declares.
	Set declarer.Set
	// Keeper is the store of the platform's stand-in.
	Keeper *keeper.Keeper
	// PlatformAddress is where the stand-in listens.
	PlatformAddress string
	// Instances are in the order of their places.
	Instances []*Instance
	// Upstreams holds each upstream's stand-in under its name.
	Upstreams map[string]*Upstream

	group *errgroup.Group
	ctx   context.Context
	log   zerolog.Logger
}

// Instance is one entry instance of a trial.
type Instance struct {
	*server.Server
	// Place is the instance's failure domain.
	Place string
	// Operator calls the instance's operators' listener.
	Operator *operator.Client

	// cut says that the platform cannot be reached.
	cut   *atomic.Bool
	stop  context.CancelFunc
	ended chan struct{}
	err   error
}

// Upstream is one upstream of a trial.
type Upstream struct {
	*upstreamer.Server
	// Address is where it listens.
	Address string

	http *http.Server
}

// Option changes a default of a trial.
type Option func(settings *options)

type options struct {
	seats int
}

// WithSeats runs that many instances in each place, in place of one.
func WithSeats(seats int) Option {
	return func(settings *options) {
		settings.seats = seats
	}
}

// Start runs a trial of a document in a group until ctx ends.
func Start(
	ctx context.Context,
	group *errgroup.Group,
	document declarer.Document,
	log zerolog.Logger,
	changes ...Option,
) (*Cluster, error) {
	settings := options{
		seats: 1,
	}
	for _, change := range changes {
		change(&settings)
	}
	if faults := checker.CheckDocument(document); len(faults) > 0 {
		return nil, &publisher.Refused{
			Faults: faults,
		}
	}
	cluster := &Cluster{
		Set:       scaleDown(document.Set(), settings.seats, upstreamsPerPlace),
		Keeper:    keeper.New(),
		Upstreams: map[string]*Upstream{},
		group:     group,
		ctx:       ctx,
		log:       log,
	}
	if err := cluster.startUpstreams(); err != nil {
		return nil, err
	}
	if err := cluster.startPlatform(); err != nil {
		return nil, err
	}
	for place := range cluster.Set.Places.All() {
		for number := range place.Seats {
			if err := cluster.startInstance(place.Name, number+1); err != nil {
				return nil, err
			}
		}
	}
	group.Go(func() error {
		var addresses []string
		for _, instance := range cluster.Instances {
			addresses = append(addresses, instance.OperatorAddress())
		}
		return platformer.NewRoll(cluster.Keeper).Run(ctx, addresses)
	})
	return cluster, nil
}

// Publish declares the trial's set, and waits until every instance has a seat and
// the configuration in force, and is linked with all others.
func (c *Cluster) Publish(ctx context.Context) (publisher.Accepted, error) {
	accepted, err := c.Instances[0].Operator.Change(ctx, publisher.Change{
		Document: c.Set.Document(),
		Prune:    true,
		By:       "try",
	})
	if err != nil {
		return accepted, err
	}
	ready := func() bool {
		for _, instance := range c.Instances {
			if !instance.ready(ctx, accepted.Revision, len(c.Instances)-1) {
				return false
			}
		}
		return true
	}
	if !Await(ctx, startLimit, ready) {
		return accepted, errors.New("the instances did not get ready in time")
	}
	return accepted, nil
}

// Await polls a condition until it holds or the limit has passed, and says
// whether it holds.
func Await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) || retrier.Sleep(ctx, pollInterval) != nil {
			return false
		}
	}
	return true
}

func (i *Instance) ready(ctx context.Context, revision uint64, peers int) bool {
	status, err := i.Operator.Status(ctx)
	if err != nil || status.Seat < 0 || status.Revision < revision || len(status.Peers) < peers {
		return false
	}
	for _, peer := range status.Peers {
		if !peer.Linked {
			return false
		}
	}
	return true
}

// Stop drains the instance, as SIGTERM does, and waits for its end.
func (i *Instance) Stop() error {
	i.stop()
	<-i.ended
	return i.err
}

// CutPlatform cuts the instance off from the platform, or ends that.
func (i *Instance) CutPlatform(cut bool) {
	i.cut.Store(cut)
}

// cuttable serves calls unless they are cut off.
func cuttable(next http.Handler, cut *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, request)
	})
}

// Kill ends the instance at once.
func (i *Instance) Kill() {
	i.Halt()
	<-i.ended
}

// Kill ends the upstream's stand-in and breaks its connections.
func (u *Upstream) Kill() {
	u.http.Close()
}

func (c *Cluster) startUpstreams() error {
	for version := range c.Set.Versions.All() {
		moved := make([]declarer.Upstream, 0, len(version.Upstreams))
		for _, declared := range version.Upstreams {
			started, err := c.startUpstream(declared)
			if err != nil {
				return err
			}
			c.Upstreams[declared.Name] = started
			moved = append(moved, declared.WithAddress(started.Address))
		}
		c.Set = c.Set.WithVersion(version.WithUpstreams(moved...))
	}
	return nil
}

func (c *Cluster) startUpstream(declared declarer.Upstream) (*Upstream, error) {
	standin := upstreamer.New(upstreamer.Settings{
		Name:       declared.Name,
		Slots:      declared.Slots,
		WorkMillis: workMillis,
	})
	address, running, err := c.serve(standin)
	return &Upstream{
		Server:  standin,
		Address: address,
		http:    running,
	}, err
}

func (c *Cluster) startPlatform() error {
	address, _, err := c.serve(platformer.New(c.Keeper))
	c.PlatformAddress = address
	return err
}

// serve runs an HTTP server on a free port of the loopback interface.
func (c *Cluster) serve(handler http.Handler) (string, *http.Server, error) {
	listener, err := openPort()
	if err != nil {
		return "", nil, err
	}
	running := &http.Server{
		Handler: handler,
	}
	c.group.Go(func() error {
		if err := running.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(c.ctx, func() { running.Close() })
	return listener.Addr().String(), running, nil
}

func (c *Cluster) startInstance(place string, number int) error {
	settings := configurer.Defaults()
	settings.Name = fmt.Sprintf("%s-%d", place, number)
	settings.Place = place
	settings.Peers.Secret = peerSecret
	settings.Operators.KeyHash = declarer.HashKey(OperatorKey).String()
	cut := &atomic.Bool{}
	gate, _, err := c.serve(cuttable(platformer.New(c.Keeper), cut))
	if err != nil {
		return err
	}
	settings.Platform.Address = "http://" + gate
	settings.Upstreams.ProbeMillis = 100
	settings.Drain.GraceMillis = 200
	settings.Drain.LimitMillis = 5000
	opened, err := openPorts()
	if err != nil {
		return err
	}
	running, err := server.NewOn(settings, c.log, opened)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	instance := &Instance{
		Server:   running,
		Place:    place,
		Operator: operator.New(running.OperatorAddress(), OperatorKey),
		cut:      cut,
		stop:     stop,
		ended:    make(chan struct{}),
	}
	c.group.Go(func() error {
		defer close(instance.ended)
		instance.err = running.Run(ctx)
		return nil
	})
	c.Instances = append(c.Instances, instance)
	return nil
}

func openPorts() (server.Listeners, error) {
	var opened server.Listeners
	for _, into := range []*net.Listener{&opened.Callers, &opened.Peers, &opened.Operators} {
		listener, err := openPort()
		if err != nil {
			return opened, err
		}
		*into = listener
	}
	return opened, nil
}

func openPort() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, eris.Wrap(err, "loopback")
}
