package linker

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/stamper"
)

// Path is where the peers' listener accepts links.
const Path = "/link"

const (
	// handshakeLimit bounds the time from dialing to the end of the handshake.
	handshakeLimit = 2 * time.Second
	// firstRedialMillis and longestRedialMillis space the tries to reach a peer.
	firstRedialMillis   = 100
	longestRedialMillis = 2000
)

// ErrNoLink means that there is no link to the peer asked for.
var ErrNoLink = errors.New("no link to this peer")

// Peer is what is known of a linked peer.
type Peer struct {
	Member registrar.Member
	// Beat is the last one received.
	Beat Beat
}

// Parts are what a hub works with.
type Parts struct {
	// Self is this instance.
	Self registrar.Member
	// Secret is known to all instances and to nobody else.
	Secret string
	// Clock is observed and advanced by each frame.
	Clock *stamper.Clock
	// TLS, if not nil, is how peers are dialed.
	TLS *tls.Config
	// Beat returns what to tell the peers.
	Beat func() Beat
	// Heard is told of each beat.
	Heard func(beat Beat)
	// Changed is told of each peer's first and each changed beat, with the one
	// before, which is zero at first; Lost of each link that has ended.
	Changed func(peer registrar.Member, before, beat Beat)
	Lost    func(peer registrar.Member)
}

// Hub holds the links of one instance. Safe for many goroutines.
type Hub struct {
	self    registrar.Member
	secret  string
	clock   *stamper.Clock
	scheme  string
	client  *http.Client
	beat    func() Beat
	heard   func(beat Beat)
	changed func(peer registrar.Member, before, beat Beat)
	lost    func(peer registrar.Member)
	// topics holds the handler of each topic. It is complete before Run.
	topics map[string]topic

	// linking guards links, wanted and accepted.
	linking sync.Mutex
	// links holds the link to each peer under its incarnation.
	links map[string]*link
	// wanted holds the end of each dialing loop under the address dialed.
	wanted map[string]context.CancelFunc
	// tasks runs the dialing loops and the accepted links. It is nil but in Run.
	tasks *errgroup.Group
	ctx   context.Context

	// frames and bytes count what was sent.
	frames atomic.Uint64
	bytes  atomic.Uint64
}

// New returns a hub made of parts.
func New(parts Parts) *Hub {
	scheme := "ws"
	if parts.TLS != nil {
		scheme = "wss"
	}
	return &Hub{
		self:   parts.Self,
		secret: parts.Secret,
		clock:  parts.Clock,
		scheme: scheme,
		client: &http.Client{
			Transport: &http.Transport{
				TLSClientConfig: parts.TLS,
			},
		},
		beat:    parts.Beat,
		heard:   parts.Heard,
		changed: parts.Changed,
		lost:    parts.Lost,
		topics:  map[string]topic{},
		links:   map[string]*link{},
		wanted:  map[string]context.CancelFunc{},
	}
}

// Run keeps the links until ctx ends. SetPeers and ServeHTTP work only meanwhile.
func (h *Hub) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	h.linking.Lock()
	h.tasks = group
	h.ctx = ctx
	h.linking.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		h.linking.Lock()
		defer h.linking.Unlock()
		h.tasks = nil
		return nil
	})
	return group.Wait()
}

// SetPeers says which addresses to keep links to. Of each pair of instances the
// one with the lower address dials, unless the others cannot know this one yet;
// then it dials all.
func (h *Hub) SetPeers(addresses []string, unknown bool) {
	h.linking.Lock()
	defer h.linking.Unlock()
	if h.tasks == nil {
		return
	}
	for address, stop := range h.wanted {
		if !slices.Contains(addresses, address) {
			stop()
			delete(h.wanted, address)
		}
	}
	for _, address := range addresses {
		_, found := h.wanted[address]
		theirs := address < h.self.PeerAddress && !unknown
		if found || theirs || address == h.self.PeerAddress {
			continue
		}
		ctx, stop := context.WithCancel(h.ctx)
		h.wanted[address] = stop
		h.tasks.Go(func() error { return h.keep(ctx, address) })
	}
}

// Sent returns how many frames and how many bytes of them were sent so far.
func (h *Hub) Sent() (sentFrames, sentBytes uint64) {
	return h.frames.Load(), h.bytes.Load()
}

// Go runs a task beside the links, unless the hub has ended.
func (h *Hub) Go(task func()) {
	h.linking.Lock()
	defer h.linking.Unlock()
	if h.tasks == nil {
		return
	}
	h.tasks.Go(func() error {
		task()
		return nil
	})
}

// Nudge tells all peers at once what has changed here.
func (h *Hub) Nudge() {
	h.nudge(func(registrar.Member) bool { return true })
}

// NudgePlace tells the peers of the own place at once what has changed here. The
// others hear it with the next beat.
func (h *Hub) NudgePlace() {
	h.nudge(func(peer registrar.Member) bool { return peer.Place == h.self.Place })
}

func (h *Hub) nudge(wanted func(peer registrar.Member) bool) {
	h.linking.Lock()
	defer h.linking.Unlock()
	for _, link := range h.links {
		if wanted(link.peer) {
			link.nudge()
		}
	}
}

// beatsEvery returns the time between two beats to a peer.
func (h *Hub) beatsEvery(peer registrar.Member) time.Duration {
	h.linking.Lock()
	defer h.linking.Unlock()
	if peer.Place == h.self.Place {
		return beatInterval
	}
	return beatInterval * time.Duration(max(len(h.links), manyLinks)) / manyLinks
}

// Peers returns the linked peers that have sent a beat, in the order of their
// incarnations.
func (h *Hub) Peers() []Peer {
	h.linking.Lock()
	defer h.linking.Unlock()
	peers := make([]Peer, 0, len(h.links))
	for _, link := range h.links {
		if beat := link.beat.Load(); beat != nil {
			peers = append(peers, Peer{
				Member: link.peer,
				Beat:   *beat,
			})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return strings.Compare(a.Member.Incarnation, b.Member.Incarnation)
	})
	return peers
}

// Peer returns the linked peer of an incarnation, if it has sent a beat.
func (h *Hub) Peer(incarnation string) (Peer, bool) {
	link, found := h.link(incarnation)
	if !found {
		return Peer{}, false
	}
	beat := link.beat.Load()
	if beat == nil {
		return Peer{}, false
	}
	return Peer{
		Member: link.peer,
		Beat:   *beat,
	}, true
}

// Successors returns the linked peers in the order of their incarnations,
// beginning after this instance, so that each instance begins with another.
func (h *Hub) Successors() []Peer {
	peers := h.Peers()
	after, _ := slices.BinarySearchFunc(peers, h.self.Incarnation, func(peer Peer, own string) int {
		return strings.Compare(peer.Member.Incarnation, own)
	})
	return append(slices.Clone(peers[after:]), peers[:after]...)
}

// ServeHTTP accepts a link.
func (h *Hub) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	conn, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithTimeout(request.Context(), handshakeLimit)
	defer cancel()
	peer, err := admit(ctx, conn, h.secret, h.self)
	if err != nil {
		_ = conn.Close(websocket.StatusPolicyViolation, "handshake failed")
		return
	}
	h.serve(request.Context(), conn, peer)
}

func (h *Hub) link(incarnation string) (*link, bool) {
	h.linking.Lock()
	defer h.linking.Unlock()
	found, exists := h.links[incarnation]
	return found, exists
}
