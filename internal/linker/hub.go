package linker

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

// Path is the URL path on which the listener for peers accepts links.
const Path = "/link"

const (
	// handshakeTimeout bounds the time from dialing to the end of the handshake.
	handshakeTimeout = 2 * time.Second
	// firstRedialMillis and longestRedialMillis bound the backoff between attempts
	// to dial a peer.
	firstRedialMillis   = 100
	longestRedialMillis = 2000
)

// ErrNoLink means that there is no link to the requested peer.
var ErrNoLink = errors.New("no link to peer")

// Peer is an instance at the other end of a link.
type Peer struct {
	// Member is the description that the peer sent in the handshake.
	Member registrar.Member
	// Heartbeat is the last heartbeat received.
	Heartbeat Heartbeat
}

// Options holds the settings and callbacks of a hub.
type Options struct {
	// Self describes this instance to the peers.
	Self registrar.Member
	// Secret is shared by all instances and known to nobody else.
	Secret string
	// Clock stamps each frame sent and observes the stamp of each frame received.
	Clock *timestamper.Clock
	// TLS configures the dialing of peers. If it is nil, they are dialed without TLS.
	TLS *tls.Config
	// Heartbeat returns the current heartbeat of this instance.
	Heartbeat func() Heartbeat
	// OnHeartbeat is called with each heartbeat received.
	OnHeartbeat func(heartbeat Heartbeat)
	// OnChange is called with each heartbeat that differs from the one before it, by
	// Heartbeat.Differs. The first heartbeat on a link is compared with the zero value.
	OnChange func(peer registrar.Member, before, heartbeat Heartbeat)
	// OnLinkLost is called when a link has closed.
	OnLinkLost func(peer registrar.Member)
	// FrameBytes bounds what the frames received on all links hold until they have been handled, in
	// bytes; 0 if nothing does.
	FrameBytes int64
	// OnRefused is called for each frame that found no room; nil if nobody has to know.
	OnRefused func()
}

// Hub maintains the links of one instance. It is safe for concurrent use.
type Hub struct {
	self             registrar.Member
	secret           string
	clock            *timestamper.Clock
	scheme           string
	client           *http.Client
	currentHeartbeat func() Heartbeat
	onHeartbeat      func(heartbeat Heartbeat)
	onChange         func(peer registrar.Member, before, heartbeat Heartbeat)
	onLinkLost       func(peer registrar.Member)
	// frames bounds what received frames hold; nil if nothing does.
	frames *bounder.Budget
	// onRefused is called for each frame that found no room; never nil.
	onRefused func()
	// topics holds the handler of each topic. It doesn't change after Run is called.
	topics map[string]topicHandler

	// mu guards links, linksByAddress, dialers, tasks and ctx.
	mu sync.Mutex
	// links holds the link to each peer by incarnation, and linksByAddress the latest one by
	// the address that the peer is dialed at.
	links          map[string]*link
	linksByAddress map[string]*link
	// linkCount is the number of links.
	linkCount atomic.Int64
	// changes counts the links that were opened, have received their first heartbeat, or have
	// closed.
	changes atomic.Uint64
	// dialers holds the function that stops each dialing loop, by the address dialed.
	dialers map[string]context.CancelFunc
	// tasks runs the dialing loops and the tasks of Go. It is nil outside Run.
	tasks *errgroup.Group
	// ctx ends when Run does.
	ctx context.Context

	// sentFrames and sentBytes count the frames sent and their bytes.
	sentFrames atomic.Uint64
	sentBytes  atomic.Uint64
}

// New returns a hub. It keeps no links before Run is called.
func New(options Options) *Hub {
	onRefused := options.OnRefused
	if onRefused == nil {
		onRefused = func() {}
	}
	dialer := &net.Dialer{}
	scheme := "ws"
	if options.TLS != nil {
		scheme = "wss"
	}
	return &Hub{
		self:   options.Self,
		secret: options.Secret,
		clock:  options.Clock,
		scheme: scheme,
		client: &http.Client{
			Transport: inspector.NewDialer(dialer.DialContext).WithUpgrades().Equip(&http.Transport{
				TLSClientConfig:        options.TLS,
				MaxResponseHeaderBytes: maxHandshakeBytes,
			}),
		},
		currentHeartbeat: options.Heartbeat,
		onHeartbeat:      options.OnHeartbeat,
		onChange:         options.OnChange,
		onLinkLost:       options.OnLinkLost,
		frames:           bounder.NewBudget(options.FrameBytes),
		onRefused:        onRefused,
		topics:           map[string]topicHandler{},
		links:            map[string]*link{},
		linksByAddress:   map[string]*link{},
		dialers:          map[string]context.CancelFunc{},
	}
}

// Run maintains the links until ctx ends. Outside Run, SetPeers has no effect and
// ServeHTTP closes each new link.
func (h *Hub) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	h.mu.Lock()
	h.tasks = group
	h.ctx = ctx
	h.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.tasks = nil
		return nil
	})
	return group.Wait()
}

// SetPeers sets the addresses to maintain links to. Of each pair of instances the
// one with the lower address dials. An instance that is unlisted, so that the
// others can't know it yet, dials all of them.
func (h *Hub) SetPeers(addresses []string, unlisted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks == nil {
		return
	}
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
	}
	for address, stop := range h.dialers {
		if !wanted[address] {
			stop()
			delete(h.dialers, address)
		}
	}
	for _, address := range addresses {
		_, found := h.dialers[address]
		peerDials := address < h.self.PeerAddress && !unlisted
		if found || peerDials || address == h.self.PeerAddress {
			continue
		}
		ctx, stop := context.WithCancel(h.ctx)
		h.dialers[address] = stop
		h.tasks.Go(func() error { return h.maintainLink(ctx, address) })
	}
}

// Sent returns the number of frames sent so far and their total bytes.
func (h *Hub) Sent() (sentFrames, sentBytes uint64) {
	return h.sentFrames.Load(), h.sentBytes.Load()
}

// Go runs a task in a goroutine that Run waits for, unless the hub has stopped.
func (h *Hub) Go(task func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks == nil {
		return
	}
	h.tasks.Go(func() error {
		task()
		return nil
	})
}

// HeartbeatNow sends a heartbeat to all peers immediately, so that they learn what has
// changed.
func (h *Hub) HeartbeatNow() {
	h.requestHeartbeats(func(registrar.Member) bool { return true })
}

// HeartbeatPlaceNow sends a heartbeat immediately to the peers of this instance's failure
// domain. The others learn what has changed from the next regular heartbeat.
func (h *Hub) HeartbeatPlaceNow() {
	h.requestHeartbeats(func(peer registrar.Member) bool { return peer.Place == h.self.Place })
}

func (h *Hub) requestHeartbeats(selects func(peer registrar.Member) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, link := range h.links {
		if selects(link.peer) {
			link.requestHeartbeat()
		}
	}
}

// heartbeatInterval returns the time between two heartbeats to a peer.
func (h *Hub) heartbeatInterval(peer registrar.Member) time.Duration {
	if peer.Place == h.self.Place {
		return baseHeartbeatInterval
	}
	return baseHeartbeatInterval * time.Duration(max(h.linkCount.Load(), fullRateLinks)) / fullRateLinks
}

// Changes returns a number that differs from an earlier one if Peers may return other members.
func (h *Hub) Changes() uint64 {
	return h.changes.Load()
}

// Peers returns the linked peers that have sent a heartbeat, sorted by incarnation.
func (h *Hub) Peers() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := make([]Peer, 0, len(h.links))
	for _, link := range h.links {
		if heartbeat := link.lastHeartbeat.Load(); heartbeat != nil {
			peers = append(peers, Peer{
				Member:    link.peer,
				Heartbeat: *heartbeat,
			})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return strings.Compare(a.Member.Incarnation, b.Member.Incarnation)
	})
	return peers
}

// Peer returns the linked peer of an incarnation, if it has sent a heartbeat.
func (h *Hub) Peer(incarnation string) (Peer, bool) {
	link, found := h.linkTo(incarnation)
	if !found {
		return Peer{}, false
	}
	heartbeat := link.lastHeartbeat.Load()
	if heartbeat == nil {
		return Peer{}, false
	}
	return Peer{
		Member:    link.peer,
		Heartbeat: *heartbeat,
	}, true
}

// IsLinked reports whether there is a link to a peer.
func (h *Hub) IsLinked(incarnation string) bool {
	_, found := h.linkTo(incarnation)
	return found
}

// Successors returns the peers of Peers, rotated so that the first is the one that
// follows this instance in the order of incarnations. Each instance thus starts
// with a different peer.
func (h *Hub) Successors() []Peer {
	peers := h.Peers()
	after, _ := slices.BinarySearchFunc(peers, h.self.Incarnation, func(peer Peer, own string) int {
		return strings.Compare(peer.Member.Incarnation, own)
	})
	return append(slices.Clone(peers[after:]), peers[:after]...)
}

// ServeHTTP accepts a link and serves it until it closes.
func (h *Hub) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	conn, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(request.Context(), handshakeTimeout)
	defer cancel()
	peer, err := acceptHandshake(ctx, conn, h.secret, h.self)
	if errors.Is(err, websocket.ErrMessageTooBig) {
		// A closing handshake would go on reading what has no end.
		return
	}
	if err != nil {
		_ = conn.Close(websocket.StatusPolicyViolation, "handshake failed")
		return
	}
	if kept, ok := w.(keeper); ok && !kept.Keep() {
		return
	}
	h.serve(request.Context(), conn, peer)
}

// keeper is a response whose connection gives way to others until it is kept.
type keeper interface {
	// Keep returns false if the connection has given way.
	Keep() bool
}

func (h *Hub) linkTo(incarnation string) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, exists := h.links[incarnation]
	return found, exists
}
