package linker

import (
	"context"
	"fmt"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topicHandler handles an encoded call and returns its encoded answer.
type topicHandler func(ctx context.Context, body []byte) ([]byte, error)

// Handle registers a query as the handler of a topic. It must be called before Run.
func Handle[Q, R any](hub *Hub, topic string, query handler.Query[Q, R], requestCodec handler.Codec[Q], answerCodec handler.Codec[R]) {
	hub.topics[topic] = withCodecs(query.Ask, requestCodec, answerCodec)
}

// HandleCommand registers a command as the handler of a topic. It must be called
// before Run.
func HandleCommand[C, R any](hub *Hub, topic string, command handler.Command[C, R], commandCodec handler.Codec[C], answerCodec handler.Codec[R]) {
	hub.topics[topic] = withCodecs(command.Do, commandCodec, answerCodec)
}

// empty is the answer to a command that Receive handles.
type empty struct{}

// Receive registers a function as the handler of the commands on a topic. It is given the peer
// that has sent the command; the answer is an empty value. Receive must be called before Run.
func Receive[C any](hub *Hub, topic string, codec handler.Codec[C], receive func(peer registrar.Member, command C)) {
	do := func(ctx context.Context, command C) (empty, error) {
		receive(PeerFromContext(ctx), command)
		return empty{}, nil
	}
	hub.topics[topic] = withCodecs(do, codec, encoder.CBOR[empty]{})
}

// withCodecs turns a typed function into a topic handler.
func withCodecs[Q, R any](
	do func(context.Context, Q) (R, error),
	requestCodec handler.Codec[Q],
	answerCodec handler.Codec[R],
) topicHandler {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		request, err := requestCodec.Decode(body)
		if err != nil {
			return nil, err
		}
		answer, err := do(ctx, request)
		if err != nil {
			return nil, err
		}
		return answerCodec.Encode(answer)
	}
}

// Call makes a call on a topic of a peer and waits for the answer. Its error wraps
// ErrNoLink if there is no link to the peer's incarnation.
func Call[Q, R any](
	ctx context.Context,
	hub *Hub,
	incarnation, topic string,
	request Q,
	requestCodec handler.Codec[Q],
	answerCodec handler.Codec[R],
) (R, error) {
	var zero R
	link, found := hub.linkTo(incarnation)
	if !found {
		return zero, fmt.Errorf("%w: incarnation %q", ErrNoLink, incarnation)
	}
	body, err := requestCodec.Encode(request)
	if err != nil {
		return zero, err
	}
	answer, err := link.call(ctx, topic, body)
	if err != nil {
		return zero, err
	}
	return answerCodec.Decode(answer)
}

// Send sends a one-way command on a topic to a peer and doesn't wait for it to be
// carried out. Its error wraps ErrNoLink if there is no link to the peer's incarnation.
func Send[C any](hub *Hub, incarnation, topic string, command C, commandCodec handler.Codec[C]) error {
	link, found := hub.linkTo(incarnation)
	if !found {
		return fmt.Errorf("%w: incarnation %q", ErrNoLink, incarnation)
	}
	body, err := commandCodec.Encode(command)
	if err != nil {
		return err
	}
	return link.enqueue(Frame{
		Kind:  KindSend,
		Topic: topic,
		Body:  body,
	})
}

// peerKey is the context key of the peer that a handler serves.
type peerKey struct{}

func withPeer(ctx context.Context, peer registrar.Member) context.Context {
	return context.WithValue(ctx, peerKey{}, peer)
}

// PeerFromContext returns the peer that sent the call or command, from the context of a
// handler. The peer's incarnation was authenticated in the handshake.
func PeerFromContext(ctx context.Context) registrar.Member {
	peer, _ := ctx.Value(peerKey{}).(registrar.Member)
	return peer
}

func (h *Hub) handleTopic(ctx context.Context, topic string, body []byte) ([]byte, error) {
	handle, found := h.topics[topic]
	if !found {
		return nil, fmt.Errorf("unknown topic %s", topic)
	}
	return handle(ctx, body)
}
