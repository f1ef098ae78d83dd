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
	errWrongSecret = errors.New("handshake: the peer's proof does not match the secret")
	errMalformed   = errors.New("malformed message: not binary, or a nonce of the wrong length")
)

// dialHandshake runs the dialing side of a handshake and returns the peer.
func dialHandshake(ctx context.Context, conn *websocket.Conn, secret string, self registrar.Member) (registrar.Member, error) {
	received, err := receive(ctx, conn, challengeCodec)
	if err != nil {
		return registrar.Member{}, err
	}
	if len(received.Nonce) != nonceBytes {
		return registrar.Member{}, errMalformed
	}
	nonce := newNonce()
	if err = sendProof(ctx, conn, secret, roleDial, received.Nonce, nonce, self); err != nil {
		return registrar.Member{}, err
	}
	peerProof, err := receive(ctx, conn, proofCodec)
	if err != nil {
		return registrar.Member{}, err
	}
	return peerProof.Member, verify(peerProof, secret, roleAccept, nonce, received.Nonce)
}

// acceptHandshake runs the accepting side of a handshake and returns the peer.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, secret string, self registrar.Member) (registrar.Member, error) {
	nonce := newNonce()
	opening := challenge{
		Nonce: nonce,
	}
	if err := send(ctx, conn, challengeCodec, opening); err != nil {
		return registrar.Member{}, err
	}
	peerProof, err := receive(ctx, conn, proofCodec)
	if err != nil {
		return registrar.Member{}, err
	}
	if len(peerProof.Nonce) != nonceBytes {
		return registrar.Member{}, errMalformed
	}
	if err = verify(peerProof, secret, roleDial, nonce, peerProof.Nonce); err != nil {
		return registrar.Member{}, err
	}
	return peerProof.Member, sendProof(ctx, conn, secret, roleAccept, peerProof.Nonce, nonce, self)
}

// sendProof sends the proof of this instance for a role and the nonces of computeMAC.
func sendProof(
	ctx context.Context,
	conn *websocket.Conn,
	secret, role string,
	verifierNonce, proverNonce []byte,
	self registrar.Member,
) error {
	code, err := computeMAC(secret, role, verifierNonce, proverNonce, self)
	if err != nil {
		return err
	}
	return send(ctx, conn, proofCodec, proof{
		Member: self,
		Nonce:  proverNonce,
		MAC:    code,
	})
}

// verify returns an error unless the peer's proof was made with the secret, for the
// given role and nonces (see computeMAC).
func verify(peerProof proof, secret, role string, verifierNonce, proverNonce []byte) error {
	want, err := computeMAC(secret, role, verifierNonce, proverNonce, peerProof.Member)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, peerProof.MAC) {
		return errWrongSecret
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// Read of crypto/rand never returns an error.
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
		var zero T
		return zero, err
	}
	if kind != websocket.MessageBinary {
		var zero T
		return zero, errMalformed
	}
	return codec.Decode(data)
}
