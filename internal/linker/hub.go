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

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/handler"
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

// topic answers encoded questions.
type topic func(ctx context.Context, body []byte) ([]byte, error)

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

// Handle lets a query answer the questions on a topic. It is called before Run.
func Handle[Q, R any](hub *Hub, name string, query handler.Query[Q, R], questions handler.Codec[Q], answers handler.Codec[R]) {
	hub.topics[name] = decoded(query.Ask, questions, answers)
}

// HandleCommand lets a command carry out what is asked on a topic. It is called
// before Run.
func HandleCommand[C, R any](hub *Hub, name string, command handler.Command[C, R], commands handler.Codec[C], answers handler.Codec[R]) {
	hub.topics[name] = decoded(command.Do, commands, answers)
}

func decoded[Q, R any](
	handle func(context.Context, Q) (R, error),
	questions handler.Codec[Q],
	answers handler.Codec[R],
) topic {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		question, err := questions.Decode(body)
		if err != nil {
			return nil, err
		}
		answer, err := handle(ctx, question)
		if err != nil {
			return nil, err
		}
		return answers.Encode(answer)
	}
}

// Ask puts a question on a topic to a peer and waits for the answer.
func Ask[Q, R any](
	ctx context.Context,
	hub *Hub,
	incarnation, name string,
	question Q,
	questions handler.Codec[Q],
	answers handler.Codec[R],
) (R, error) {
	var none R
	link, found := hub.link(incarnation)
	if !found {
		return none, ErrNoLink
	}
	body, err := questions.Encode(question)
	if err != nil {
		return none, err
	}
	answer, err := link.ask(ctx, name, body)
	if err != nil {
		return none, err
	}
	return answers.Decode(answer)
}

// Tell sends a command on a topic to a peer and does not wait for an answer.
func Tell[C any](hub *Hub, incarnation, name string, command C, commands handler.Codec[C]) error {
	link, found := hub.link(incarnation)
	if !found {
		return ErrNoLink
	}
	body, err := commands.Encode(command)
	if err != nil {
		return err
	}
	return link.enqueue(Frame{
		Kind:  KindTell,
		Topic: name,
		Body:  body,
	})
}

// peerKey is the key of the peer in the context of a handler.
type peerKey struct{}

func withPeer(ctx context.Context, peer registrar.Member) context.Context {
	return context.WithValue(ctx, peerKey{}, peer)
}

// PeerOf returns the peer that asked, in the context of a handler. Its incarnation
// was proved by the handshake's secret.
func PeerOf(ctx context.Context) registrar.Member {
	peer, _ := ctx.Value(peerKey{}).(registrar.Member)
	return peer
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
	h.linking.Lock()
	defer h.linking.Unlock()
	for _, link := range h.links {
		link.nudge()
	}
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

// keep dials an address again and again until ctx ends.
func (h *Hub) keep(ctx context.Context, address string) error {
	backoff := retrier.NewBackoff(firstRedialMillis, longestRedialMillis)
	for {
		if h.linkedTo(address) || h.dial(ctx, address) {
			backoff.Reset()
		}
		if backoff.Wait(ctx) != nil {
			return nil
		}
	}
}

// dial opens a link and serves it until it ends. It says whether the handshake
// succeeded.
func (h *Hub) dial(ctx context.Context, address string) bool {
	opening, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	conn, _, err := websocket.Dial(opening, h.scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient: h.client,
	})
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	peer, err := greet(opening, conn, h.secret, h.self)
	if err != nil {
		return false
	}
	h.serve(ctx, conn, peer)
	return true
}

// serve runs a link whose handshake has succeeded. A second link to the same
// incarnation is ended: the first ends by itself if it has gone silent, and one
// that replaced it would be replaced in turn where both ends dial.
func (h *Hub) serve(ctx context.Context, conn *websocket.Conn, peer registrar.Member) {
	running := newLink(h, conn, peer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !h.register(running) {
		return
	}
	stop := context.AfterFunc(h.ctx, cancel)
	defer stop()
	_ = running.run(ctx)
	h.forget(running)
	h.lost(peer)
}

// register adds a link, unless the hub has ended or has one to the same peer.
func (h *Hub) register(added *link) bool {
	h.linking.Lock()
	defer h.linking.Unlock()
	_, linked := h.links[added.peer.Incarnation]
	if h.tasks == nil || linked {
		return false
	}
	h.links[added.peer.Incarnation] = added
	return true
}

// forget removes a link that has ended.
func (h *Hub) forget(ended *link) {
	h.linking.Lock()
	defer h.linking.Unlock()
	delete(h.links, ended.peer.Incarnation)
}

// linkedTo says whether there is a link to the peer at an address.
func (h *Hub) linkedTo(address string) bool {
	h.linking.Lock()
	defer h.linking.Unlock()
	for _, linked := range h.links {
		if linked.peer.PeerAddress == address {
			return true
		}
	}
	return false
}

func (h *Hub) link(incarnation string) (*link, bool) {
	h.linking.Lock()
	defer h.linking.Unlock()
	found, exists := h.links[incarnation]
	return found, exists
}

func (h *Hub) handle(ctx context.Context, name string, body []byte) ([]byte, error) {
	handle, found := h.topics[name]
	if !found {
		return nil, errors.New("unknown topic " + name)
	}
	return handle(ctx, body)
}
