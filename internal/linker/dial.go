package linker

import (
	"context"

	"github.com/coder/websocket"

	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// maintainLink dials an address whenever there is no link to it, with backoff,
// until ctx ends.
func (h *Hub) maintainLink(ctx context.Context, address string) error {
	backoff := retrier.NewBackoff(firstRedialMillis, longestRedialMillis)
	for {
		if h.awaitLinkEnd(ctx, address) || h.dial(ctx, address) {
			backoff.Reset()
		}
		if backoff.Wait(ctx) != nil {
			return nil
		}
	}
}

// awaitLinkEnd waits until the link to an address closes or ctx ends, and returns true then. It
// returns false if there is no link to the address.
func (h *Hub) awaitLinkEnd(ctx context.Context, address string) bool {
	established, found := h.linkToAddress(address)
	if !found {
		return false
	}
	select {
	case <-established.ended:
	case <-ctx.Done():
	}
	return true
}

// dial opens a link, serves it until it closes, and then returns true. It returns false
// if the address can't be dialed or the handshake fails.
func (h *Hub) dial(ctx context.Context, address string) bool {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(handshakeCtx, h.scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPClient: h.client,
	})
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxHandshakeBytes)
	peer, err := dialHandshake(handshakeCtx, conn, h.secret, h.self)
	if err != nil {
		return false
	}
	h.serve(ctx, conn, peer)
	return true
}

// serve runs a link whose handshake has succeeded. A second link to the same
// incarnation is closed and doesn't replace the first: where both ends dial, the
// links would keep replacing each other. A first link that is dead closes after
// its silence timeout.
func (h *Hub) serve(ctx context.Context, conn *websocket.Conn, peer registrar.Member) {
	conn.SetReadLimit(maxFrameBytes)
	established := newLink(h, conn, peer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !h.register(established) {
		return
	}
	stop := context.AfterFunc(h.ctx, cancel)
	defer stop()
	_ = established.run(ctx)
	h.unregister(established)
	h.onLinkLost(peer)
}

// register adds a link, unless the hub has stopped or already has a link to the
// same incarnation.
func (h *Hub) register(added *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, linked := h.links[added.peer.Incarnation]
	if h.tasks == nil || linked {
		return false
	}
	h.links[added.peer.Incarnation] = added
	h.linksByAddress[added.peer.PeerAddress] = added
	h.linkCount.Add(1)
	h.changes.Add(1)
	return true
}

// unregister removes a link that has closed.
func (h *Hub) unregister(ended *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, ended.peer.Incarnation)
	if h.linksByAddress[ended.peer.PeerAddress] == ended {
		delete(h.linksByAddress, ended.peer.PeerAddress)
	}
	h.linkCount.Add(-1)
	h.changes.Add(1)
}

// linkToAddress returns the latest link to the peer with this address.
func (h *Hub) linkToAddress(address string) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, exists := h.linksByAddress[address]
	return found, exists
}
