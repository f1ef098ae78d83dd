package linker

import (
	"context"

	"github.com/coder/websocket"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

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
