package linker

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// baseHeartbeatInterval is the time between two heartbeats to a peer of the same
	// failure domain.
	baseHeartbeatInterval = 500 * time.Millisecond
	// fullRateLinks is the number of links up to which peers of other failure domains
	// get heartbeats at the base interval. Beyond it the interval grows with the number
	// of links, so that the rate of these heartbeats over all links stays constant.
	fullRateLinks = 24
	// silenceTimeout is how long nothing may be received on a link before it is closed,
	// since a device between the two ends may have lost track of the connection. It also
	// bounds the sending of one frame.
	silenceTimeout = 2 * time.Second
	// silentHeartbeats is the number of the peer's heartbeat intervals after which a
	// silent link is closed, if they are longer than silenceTimeout.
	silentHeartbeats = 5 / 2.0
	// queueLength is the number of frames that may wait to be sent on a link.
	queueLength = 64
	// maxFrameBytes is the maximum size of a received frame. The largest holds a peer's view
	// of a collection. maxHandshakeBytes is the maximum size of a message before the peer has
	// proved that it knows the secret.
	maxFrameBytes     = 8 << 20
	maxHandshakeBytes = 16 << 10
)

var (
	errPeerSlow   = errors.New("send queue is full: peer reads too slowly")
	errLinkClosed = errors.New("link closed before the answer was received")
)

// link is a connection to a peer whose handshake has succeeded.
type link struct {
	hub  *Hub
	conn *websocket.Conn
	peer registrar.Member
	// queue holds the frames to send. If it is full, calls and one-way commands fail,
	// and an answer closes the link.
	queue chan Frame
	// heartbeatRequests makes writeLoop send a heartbeat immediately.
	heartbeatRequests chan struct{}
	// lastHeartbeat is the last heartbeat received, or nil. lastHeartbeatBody is its encoding;
	// only readLoop uses it.
	lastHeartbeat     atomic.Pointer[Heartbeat]
	lastHeartbeatBody []byte
	// lastCallID is the ID of the last call made.
	lastCallID atomic.Uint64
	// pending holds a chan Frame for the answer to each pending call, by call ID.
	pending sync.Map
	// ended is closed when run returns.
	ended chan struct{}
	// receiveTimer ends the link when nothing has been received for too long, and sendTimer
	// when the sending of a frame takes too long. Run sets both.
	receiveTimer *time.Timer
	sendTimer    *time.Timer
}

func newLink(hub *Hub, conn *websocket.Conn, peer registrar.Member) *link {
	return &link{
		hub:               hub,
		conn:              conn,
		peer:              peer,
		queue:             make(chan Frame, queueLength),
		heartbeatRequests: make(chan struct{}, 1),
		ended:             make(chan struct{}),
	}
}

// run serves the link until it fails or ctx ends.
func (l *link) run(ctx context.Context) error {
	defer close(l.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	// One timer for all frames and one call that closes the connection cost much less than a
	// context with a deadline for each frame.
	stop := context.AfterFunc(ctx, func() { _ = l.conn.CloseNow() })
	defer stop()
	l.receiveTimer = time.AfterFunc(silenceTimeout, cancel)
	defer l.receiveTimer.Stop()
	l.sendTimer = time.AfterFunc(silenceTimeout, cancel)
	l.sendTimer.Stop()
	defer l.sendTimer.Stop()
	group.Go(func() error { return l.writeLoop(ctx) })
	group.Go(func() error { return l.readLoop(ctx, group) })
	err := group.Wait()
	_ = l.conn.CloseNow()
	return err
}

// writeLoop sends heartbeats and, between them, the queued frames.
func (l *link) writeLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		interval := l.hub.heartbeatInterval(l.peer)
		if err := l.sendHeartbeat(interval); err != nil {
			return err
		}
		timer.Reset(interval)
		if err := l.sendQueued(ctx, timer.C); err != nil {
			return err
		}
	}
}

// sendQueued sends frames from the queue until a heartbeat is due or requested.
func (l *link) sendQueued(ctx context.Context, due <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			return nil
		case <-l.heartbeatRequests:
			return nil
		case frame := <-l.queue:
			if err := l.sendFrame(frame); err != nil {
				return err
			}
		}
	}
}

func (l *link) sendHeartbeat(interval time.Duration) error {
	heartbeat := l.hub.currentHeartbeat()
	heartbeat.EveryMillis = interval.Milliseconds()
	body, err := heartbeatCodec.Encode(heartbeat)
	if err != nil {
		return err
	}
	return l.sendFrame(Frame{
		Kind: KindHeartbeat,
		Body: body,
	})
}

// sendFrame stamps a frame and writes it to the connection. Only writeLoop calls it.
func (l *link) sendFrame(frame Frame) error {
	frame.Stamp = l.hub.clock.Next()
	data, err := frameCodec.Encode(frame)
	if err != nil {
		return err
	}
	l.hub.sentFrames.Add(1)
	l.hub.sentBytes.Add(uint64(len(data)))
	l.sendTimer.Reset(silenceTimeout)
	defer l.sendTimer.Stop()
	return l.conn.Write(context.Background(), websocket.MessageBinary, data)
}

// readLoop handles the received frames. Handlers of calls and one-way commands run
// in goroutines of the group.
func (l *link) readLoop(ctx context.Context, group *errgroup.Group) error {
	for {
		l.receiveTimer.Reset(l.receiveTimeout())
		frame, held, err := l.receiveFrame(context.Background())
		if err != nil {
			held.release()
			if errors.Is(err, errNoRoom) {
				l.hub.onRefused()
			}
			return err
		}
		l.hub.clock.Observe(frame.Stamp)
		if err = l.handleFrame(ctx, group, frame, held); err != nil {
			return err
		}
	}
}

// receiveTimeout returns how long to wait for the next frame before the link is
// closed.
func (l *link) receiveTimeout() time.Duration {
	heartbeat := l.lastHeartbeat.Load()
	if heartbeat == nil {
		return silenceTimeout
	}
	return max(silenceTimeout, time.Duration(float64(heartbeat.EveryMillis)*silentHeartbeats)*time.Millisecond)
}

// handleFrame handles a frame, and releases what it holds once it has been handled.
func (l *link) handleFrame(ctx context.Context, group *errgroup.Group, frame Frame, held *heldBytes) error {
	switch frame.Kind {
	case KindHeartbeat:
		defer held.release()
		return l.handleHeartbeat(frame)
	case KindCall:
		group.Go(func() error {
			defer held.release()
			return l.answerCall(ctx, frame)
		})
	case KindSend:
		group.Go(func() error {
			defer held.release()
			// The sender of a one-way command expects no answer, so the error is dropped.
			_, _ = l.hub.handleTopic(withPeer(ctx, l.peer), frame.Topic, frame.Body)
			return nil
		})
	case KindAnswer:
		defer held.release()
		if answers, found := l.pending.LoadAndDelete(frame.ID); found {
			answers.(chan Frame) <- frame
		}
	default:
		// A newer version may send unknown kinds, which are ignored.
		held.release()
	}
	return nil
}

// handleHeartbeat records a heartbeat. One with the same encoding as the last, as most are in
// calm, is not decoded.
func (l *link) handleHeartbeat(frame Frame) error {
	if last := l.lastHeartbeat.Load(); last != nil && bytes.Equal(frame.Body, l.lastHeartbeatBody) {
		l.hub.onHeartbeat(*last)
		return nil
	}
	heartbeat, err := heartbeatCodec.Decode(frame.Body)
	if err != nil {
		return err
	}
	l.lastHeartbeatBody = frame.Body
	before := l.lastHeartbeat.Swap(&heartbeat)
	if before == nil {
		before = &Heartbeat{}
		l.hub.changes.Add(1)
	}
	l.hub.onHeartbeat(heartbeat)
	if heartbeat.Differs(*before) {
		l.hub.onChange(l.peer, *before, heartbeat)
	}
	return nil
}

// answerCall runs the handler of a call and queues its answer or its error.
func (l *link) answerCall(ctx context.Context, request Frame) error {
	answer := Frame{
		Kind: KindAnswer,
		ID:   request.ID,
	}
	body, err := l.hub.handleTopic(withPeer(ctx, l.peer), request.Topic, request.Body)
	if err != nil {
		answer.Fault = err.Error()
	}
	answer.Body = body
	return l.enqueue(answer)
}

// enqueue adds a frame to the send queue. It doesn't block: if the queue is full, it
// returns errPeerSlow.
func (l *link) enqueue(frame Frame) error {
	select {
	case l.queue <- frame:
		return nil
	default:
		return errPeerSlow
	}
}

// call makes a call and waits for its answer.
func (l *link) call(ctx context.Context, topic string, body []byte) ([]byte, error) {
	id := l.lastCallID.Add(1)
	answers := make(chan Frame, 1)
	l.pending.Store(id, answers)
	defer l.pending.Delete(id)
	err := l.enqueue(Frame{
		Kind:  KindCall,
		ID:    id,
		Topic: topic,
		Body:  body,
	})
	if err != nil {
		return nil, err
	}
	select {
	case answer := <-answers:
		if answer.Fault != "" {
			return nil, errors.New(answer.Fault)
		}
		return answer.Body, nil
	case <-l.ended:
		return nil, errLinkClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// requestHeartbeat makes writeLoop send a heartbeat immediately.
func (l *link) requestHeartbeat() {
	select {
	case l.heartbeatRequests <- struct{}{}:
	default:
		// A heartbeat has already been requested.
	}
}
