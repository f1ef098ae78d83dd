package linker

import (
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
	// beatInterval is the time between two beats to a peer of the own place.
	beatInterval = 500 * time.Millisecond
	// manyLinks is from how many links on beats to other places are fewer, so that all
	// together do not grow with the number of links.
	manyLinks = 24
	// silenceLimit ends a link on which nothing has come for that long. Something
	// between the two ends may have lost track of the connection.
	silenceLimit = 2 * time.Second
	// silentBeats is the same in beats, where beats are far apart.
	silentBeats = 5 / 2.0
	// queueLength is how many frames may wait to be sent on a link.
	queueLength = 64
	// maxFrameBytes bounds a frame, in bytes.
	maxFrameBytes = 64 << 20
)

var (
	errSlow   = errors.New("peer reads too slowly")
	errClosed = errors.New("link has ended")
)

// link is one connection to a peer after its handshake.
type link struct {
	hub  *Hub
	conn *websocket.Conn
	peer registrar.Member
	// queue holds the frames to send; a full queue ends the link.
	queue chan Frame
	// nudges asks for a beat at once.
	nudges chan struct{}
	// beat is the last one received, or nil.
	beat atomic.Pointer[Beat]
	// lastID is the last ID used for a question.
	lastID atomic.Uint64
	// waiting holds the channel of each open question under its ID.
	waiting sync.Map
	ended   chan struct{}
}

func newLink(hub *Hub, conn *websocket.Conn, peer registrar.Member) *link {
	return &link{
		hub:    hub,
		conn:   conn,
		peer:   peer,
		queue:  make(chan Frame, queueLength),
		nudges: make(chan struct{}, 1),
		ended:  make(chan struct{}),
	}
}

// run serves the link until it breaks or ctx ends.
func (l *link) run(ctx context.Context) error {
	defer close(l.ended)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.write(ctx) })
	group.Go(func() error { return l.read(ctx, group) })
	err := group.Wait()
	_ = l.conn.CloseNow()
	return err
}

func (l *link) write(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		every := l.hub.beatsEvery(l.peer)
		if err := l.sendBeat(ctx, every); err != nil {
			return err
		}
		timer.Reset(every)
		if err := l.drainQueue(ctx, timer.C); err != nil {
			return err
		}
	}
}

// drainQueue sends frames until a beat is due.
func (l *link) drainQueue(ctx context.Context, due <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			return nil
		case <-l.nudges:
			return nil
		case frame := <-l.queue:
			if err := l.sendFrame(ctx, frame); err != nil {
				return err
			}
		}
	}
}

func (l *link) sendBeat(ctx context.Context, every time.Duration) error {
	beat := l.hub.beat()
	beat.EveryMillis = every.Milliseconds()
	body, err := beats.Encode(beat)
	if err != nil {
		return err
	}
	return l.sendFrame(ctx, Frame{
		Kind: KindBeat,
		Body: body,
	})
}

func (l *link) sendFrame(ctx context.Context, frame Frame) error {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	frame.Stamp = l.hub.clock.Next()
	data, err := frames.Encode(frame)
	if err != nil {
		return err
	}
	l.hub.frames.Add(1)
	l.hub.bytes.Add(uint64(len(data)))
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

func (l *link) read(ctx context.Context, group *errgroup.Group) error {
	for {
		frame, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		l.hub.clock.Observe(frame.Stamp)
		if err = l.handle(ctx, group, frame); err != nil {
			return err
		}
	}
}

// silence returns how long nothing may come before the link is given up.
func (l *link) silence() time.Duration {
	beat := l.beat.Load()
	if beat == nil {
		return silenceLimit
	}
	return max(silenceLimit, time.Duration(float64(beat.EveryMillis)*silentBeats)*time.Millisecond)
}

func (l *link) readFrame(ctx context.Context) (Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, l.silence())
	defer cancel()
	return receive(ctx, l.conn, frames)
}

func (l *link) handle(ctx context.Context, group *errgroup.Group, frame Frame) error {
	switch frame.Kind {
	case KindBeat:
		return l.handleBeat(frame)
	case KindAsk:
		group.Go(func() error { return l.answer(ctx, frame) })
	case KindTell:
		group.Go(func() error {
			// A command that fails is the sender's loss; it waits for no answer.
			_, _ = l.hub.handle(withPeer(ctx, l.peer), frame.Topic, frame.Body)
			return nil
		})
	case KindAnswer:
		if waiting, found := l.waiting.LoadAndDelete(frame.ID); found {
			waiting.(chan Frame) <- frame
		}
	}
	// A kind that a newer version sends is passed over.
	return nil
}

func (l *link) handleBeat(frame Frame) error {
	beat, err := beats.Decode(frame.Body)
	if err != nil {
		return err
	}
	before := l.beat.Swap(&beat)
	if before == nil {
		before = &Beat{}
	}
	l.hub.heard(beat)
	if beat.Differs(*before) {
		l.hub.changed(l.peer, *before, beat)
	}
	return nil
}

// answer runs the handler of a question and queues what it says.
func (l *link) answer(ctx context.Context, question Frame) error {
	answer := Frame{
		Kind: KindAnswer,
		ID:   question.ID,
	}
	body, err := l.hub.handle(withPeer(ctx, l.peer), question.Topic, question.Body)
	if err != nil {
		answer.Fault = err.Error()
	}
	answer.Body = body
	return l.enqueue(answer)
}

func (l *link) enqueue(frame Frame) error {
	select {
	case l.queue <- frame:
		return nil
	default:
		return errSlow
	}
}

// ask sends a question and waits for its answer.
func (l *link) ask(ctx context.Context, topic string, body []byte) ([]byte, error) {
	id := l.lastID.Add(1)
	waiting := make(chan Frame, 1)
	l.waiting.Store(id, waiting)
	defer l.waiting.Delete(id)
	err := l.enqueue(Frame{
		Kind:  KindAsk,
		ID:    id,
		Topic: topic,
		Body:  body,
	})
	if err != nil {
		return nil, err
	}
	select {
	case answer := <-waiting:
		if answer.Fault != "" {
			return nil, errors.New(answer.Fault)
		}
		return answer.Body, nil
	case <-l.ended:
		return nil, errClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// nudge asks for a beat at once.
func (l *link) nudge() {
	select {
	case l.nudges <- struct{}{}:
	default:
		// One is asked for already.
	}
}
