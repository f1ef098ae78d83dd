package linker

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"errors"

	"github.com/coder/websocket"

	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

var (
	errSecret    = errors.New("peer does not know the secret")
	errHandshake = errors.New("malformed handshake")
)

// greet runs the dialing side of a handshake and returns who is at the other end.
func greet(ctx context.Context, conn *websocket.Conn, secret string, self registrar.Member) (registrar.Member, error) {
	asked, err := receive(ctx, conn, challenges)
	if err != nil {
		return registrar.Member{}, err
	}
	if len(asked.Nonce) != nonceBytes {
		return registrar.Member{}, errHandshake
	}
	nonce := newNonce()
	if err = sendProof(ctx, conn, secret, roleDial, asked.Nonce, nonce, self); err != nil {
		return registrar.Member{}, err
	}
	shown, err := receive(ctx, conn, proofs)
	if err != nil {
		return registrar.Member{}, err
	}
	return shown.Member, verify(shown, secret, roleAccept, nonce, asked.Nonce)
}

// admit runs the accepting side of a handshake and returns who is at the other
// end.
func admit(ctx context.Context, conn *websocket.Conn, secret string, self registrar.Member) (registrar.Member, error) {
	nonce := newNonce()
	opening := challenge{
		Nonce: nonce,
	}
	if err := send(ctx, conn, challenges, opening); err != nil {
		return registrar.Member{}, err
	}
	shown, err := receive(ctx, conn, proofs)
	if err != nil {
		return registrar.Member{}, err
	}
	if len(shown.Nonce) != nonceBytes {
		return registrar.Member{}, errHandshake
	}
	if err = verify(shown, secret, roleDial, nonce, shown.Nonce); err != nil {
		return registrar.Member{}, err
	}
	return shown.Member, sendProof(ctx, conn, secret, roleAccept, shown.Nonce, nonce, self)
}

func sendProof(
	ctx context.Context,
	conn *websocket.Conn,
	secret, role string,
	theirs, ours []byte,
	self registrar.Member,
) error {
	code, err := prove(secret, role, theirs, ours, self)
	if err != nil {
		return err
	}
	return send(ctx, conn, proofs, proof{
		Member: self,
		Nonce:  ours,
		MAC:    code,
	})
}

func verify(shown proof, secret, role string, theirs, ours []byte) error {
	wanted, err := prove(secret, role, theirs, ours, shown.Member)
	if err != nil {
		return err
	}
	if !hmac.Equal(wanted, shown.MAC) {
		return errSecret
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(nonce)
	return nonce
}

func send[T any](ctx context.Context, conn *websocket.Conn, codec handler.Codec[T], value T) error {
	data, err := codec.Encode(value)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func receive[T any](ctx context.Context, conn *websocket.Conn, codec handler.Codec[T]) (T, error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		var none T
		return none, err
	}
	if kind != websocket.MessageBinary {
		var none T
		return none, errHandshake
	}
	return codec.Decode(data)
}
