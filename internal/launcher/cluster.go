// Package launcher runs a local cluster inside one process, on the loopback interface:
// a fake platform, entry instances, fake upstreams and a caller. The command "try"
// and the end-to-end tests use it. An order is a customer's request that must not run
// twice.
package launcher

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
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/query/sizer"
	"github.com/hemlockport/hemlockport/internal/server"
	"github.com/hemlockport/hemlockport/internal/standin/platformer"
	"github.com/hemlockport/hemlockport/internal/standin/upstreamer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

const (
	// OperatorKey is the operators' key of every local cluster.
	OperatorKey = "try-operator-key"
	// peerSecret is the secret that the instances of a local cluster share.
	peerSecret = "try-peer-secret-0123456789"
	// upstreamsPerPlace is how many upstreams of a version run in a failure domain.
	upstreamsPerPlace = 2
	// startTimeout is the timeout for all instances to become ready, and that of the
	// repetition of a request by DoWhileOverRate.
	startTimeout = 20 * time.Second
	// pollInterval is the time between two checks of the condition in Await.
	pollInterval = 10 * time.Millisecond
	// workMillis is the processing time of a request in a fake upstream, in
	// milliseconds.
	workMillis = 5
)

// Cluster is a running local cluster.
type Cluster struct {
	// Set holds the objects that Publish declares, with the addresses of the fake
	// upstreams.
	Set declarer.Set
	// Store holds the objects of the fake platform.
	Store *memstorer.Store
	// PlatformAddress is the IP address and port of the fake platform.
	PlatformAddress string
	// Instances are in the order of the names of their failure domains.
	Instances []*Instance
	// Upstreams holds the fake upstreams by the name of the declared upstream.
	Upstreams map[string]*Upstream

	group *errgroup.Group
	ctx   context.Context
	log   zerolog.Logger
}

// Instance is one entry instance of a local cluster.
type Instance struct {
	*server.Server
	// Place is the instance's failure domain.
	Place string
	// Operator is a client of the instance's listener for operators.
	Operator *operator.Client

	// partitioned is set while the instance cannot reach the platform.
	partitioned *atomic.Bool
	// cancel begins the drain. done is closed when the instance has ended, and err
	// is what it ended with.
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Upstream is one fake upstream of a local cluster.
type Upstream struct {
	*upstreamer.Server
	// Address is the IP address and port that it listens on.
	Address string

	httpServer *http.Server
}

// Option changes a default of a local cluster.
type Option func(settings *options)

type options struct {
	seats   int
	machine configurer.Machine
}

// WithSeats declares and runs that many instances in each failure domain instead of
// one. A seat is the right to one part of every limit, held by one incarnation of an
// instance.
func WithSeats(seats int) Option {
	return func(settings *options) {
		settings.seats = seats
	}
}

// WithMachine bounds what all instances together may use. Without it nothing does.
func WithMachine(machine configurer.Machine) Option {
	return func(settings *options) {
		settings.machine = machine
	}
}

// Start runs a local cluster for a document. Its goroutines belong to the group and
// end when ctx does. Nothing is published yet; see Publish.
func Start(
	ctx context.Context,
	group *errgroup.Group,
	document declarer.Document,
	log zerolog.Logger,
	opts ...Option,
) (*Cluster, error) {
	settings := options{
		seats: 1,
	}
	for _, opt := range opts {
		opt(&settings)
	}
	if faults := checker.CheckDocument(document); len(faults) > 0 {
		return nil, &publisher.RefusedError{
			Faults: faults,
		}
	}
	cluster := &Cluster{
		Set:       scaleDown(document.Set(), settings.seats, upstreamsPerPlace),
		Store:     memstorer.New(),
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
	machine := sizer.Divide(settings.machine, len(cluster.Set.Places.Rows())*settings.seats)
	for place := range cluster.Set.Places.All() {
		for number := range place.Seats {
			if err := cluster.startInstance(place.Name, number+1, machine); err != nil {
				return nil, err
			}
		}
	}
	group.Go(func() error {
		var addresses []string
		for _, instance := range cluster.Instances {
			addresses = append(addresses, instance.OperatorAddress())
		}
		return platformer.NewInstancePoller(cluster.Store).Run(ctx, addresses)
	})
	return cluster, nil
}

// Publish declares the cluster's set and waits until every instance holds a seat, has
// the configuration in force and is linked with all others.
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
	if !Await(ctx, startTimeout, ready) {
		return accepted, fmt.Errorf("the %d instances were not ready for revision %d within %s", len(c.Instances), accepted.Revision, startTimeout)
	}
	return accepted, nil
}

// Await polls a condition until it holds, the timeout has passed or ctx ends, and
// reports whether it holds.
func Await(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) || retrier.Sleep(ctx, pollInterval) != nil {
			return false
		}
	}
	return true
}

// ready reports whether the instance holds a seat, has at least that revision in force
// and is linked with at least that many peers, and with all that it knows of.
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

// Stop drains the instance, as SIGTERM does, and waits until it has ended.
func (i *Instance) Stop() error {
	i.cancel()
	<-i.done
	return i.err
}

// SetPartitioned partitions the instance from the platform, or ends the partition.
func (i *Instance) SetPartitioned(partitioned bool) {
	i.partitioned.Store(partitioned)
}

// withPartition passes calls on to next, and breaks their connections while
// partitioned is set.
func withPartition(next http.Handler, partitioned *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, request)
	})
}

// Kill ends the instance at once, without draining it, and waits until it has ended.
func (i *Instance) Kill() {
	i.Halt()
	<-i.done
}

// Kill closes the fake upstream's listener and breaks its connections.
func (u *Upstream) Kill() {
	u.httpServer.Close()
}

// startUpstreams runs a fake upstream for each declared one and puts its address into
// the set.
func (c *Cluster) startUpstreams() error {
	for version := range c.Set.Versions.All() {
		relocated := make([]declarer.Upstream, 0, len(version.Upstreams))
		for _, declared := range version.Upstreams {
			started, err := c.startUpstream(declared)
			if err != nil {
				return err
			}
			c.Upstreams[declared.Name] = started
			relocated = append(relocated, declared.WithAddress(started.Address))
		}
		c.Set = c.Set.WithVersion(version.WithUpstreams(relocated...))
	}
	return nil
}

// startUpstream runs a fake upstream for a declared one.
func (c *Cluster) startUpstream(declared declarer.Upstream) (*Upstream, error) {
	fakeUpstream := upstreamer.New(upstreamer.Settings{
		Name:       declared.Name,
		Slots:      declared.Slots,
		WorkMillis: workMillis,
	})
	address, httpServer, err := c.serve(fakeUpstream)
	return &Upstream{
		Server:     fakeUpstream,
		Address:    address,
		httpServer: httpServer,
	}, err
}

// startPlatform runs the fake platform at PlatformAddress, where faults can be set by
// hand. The instances use fake platforms of their own over the same store.
func (c *Cluster) startPlatform() error {
	address, _, err := c.serve(platformer.New(c.Store))
	c.PlatformAddress = address
	return err
}

// serve runs an HTTP server on a free port of the loopback interface until the
// cluster's context ends, and returns its address.
func (c *Cluster) serve(handler http.Handler) (string, *http.Server, error) {
	listener, err := listenLoopback()
	if err != nil {
		return "", nil, err
	}
	httpServer := &http.Server{
		Handler: handler,
	}
	c.group.Go(func() error {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(c.ctx, func() { httpServer.Close() })
	return listener.Addr().String(), httpServer, nil
}

// startInstance runs an instance in a failure domain. It has a fake platform of its
// own over the shared store, so that it can be partitioned alone. The machine bounds what it may use.
func (c *Cluster) startInstance(place string, number int, machine configurer.Machine) error {
	settings := configurer.Defaults()
	settings.Machine = machine
	settings.Callers.Listen = anyPort
	settings.Peers.Listen = anyPort
	settings.Operators.Listen = anyPort
	settings.Name = fmt.Sprintf("%s-%d", place, number)
	settings.Place = place
	settings.Peers.Secret = peerSecret
	settings.Operators.KeyHash = declarer.HashKey(OperatorKey).String()
	partitioned := &atomic.Bool{}
	platformAddress, _, err := c.serve(withPartition(platformer.New(c.Store), partitioned))
	if err != nil {
		return err
	}
	settings.Platform.Address = "http://" + platformAddress
	settings.Upstreams.ProbeMillis = 100
	settings.Drain.GraceMillis = 200
	settings.Drain.LimitMillis = 5000
	instanceServer, err := server.New(settings, c.log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	instance := &Instance{
		Server:      instanceServer,
		Place:       place,
		Operator:    operator.New(instanceServer.OperatorAddress(), OperatorKey),
		partitioned: partitioned,
		cancel:      cancel,
		done:        make(chan struct{}),
	}
	c.group.Go(func() error {
		defer close(instance.done)
		instance.err = instanceServer.Run(ctx)
		return nil
	})
	c.Instances = append(c.Instances, instance)
	return nil
}

// anyPort is an address at any free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// listenLoopback listens on a free port of the loopback interface.
func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", anyPort)
	return listener, eris.Wrap(err, "listen on a loopback port")
}
