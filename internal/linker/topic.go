package linker

import (
	"context"
	"errors"

	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// topic answers encoded questions.
type topic func(ctx context.Context, body []byte) ([]byte, error)

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

func (h *Hub) handle(ctx context.Context, name string, body []byte) ([]byte, error) {
	handle, found := h.topics[name]
	if !found {
		return nil, errors.New("unknown topic " + name)
	}
	return handle(ctx, body)
}
