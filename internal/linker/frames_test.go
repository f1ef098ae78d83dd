package linker_test

import (
	"context"
	"testing"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/handler"
)

// TestFramesAreBounded guards against a peer that knows the secret and makes an instance run out of
// memory: a frame that finds no room ends its link, smaller ones are answered, also on the next link.
func TestFramesAreBounded(t *testing.T) {
	const frameBytes = 512 << 10
	textCodec := encoder.CBOR[string]{}
	length := handler.QueryFunc[string, int](func(_ context.Context, text string) (int, error) { return len(text), nil })
	dialing, accepting := dialOrder(startBounded(t, "a", secret, frameBytes), startBounded(t, "b", secret, frameBytes))
	linker.Handle(accepting.hub, "Length", length, textCodec, numberCodec)
	linker.Handle(dialing.hub, "Length", length, textCodec, numberCodec)
	cases := []struct {
		name   string
		length int
		fits   bool
	}{
		{
			name:   "a small frame",
			length: 100,
			fits:   true,
		},
		{
			name:   "a frame in several steps",
			length: 200_000,
			fits:   true,
		},
		{
			name:   "a frame above the bound",
			length: 600_000,
		},
		{
			name:   "a small frame on the next link",
			length: 100,
			fits:   true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !dialing.awaitPeer(t, accepting.address) || !accepting.awaitPeer(t) {
				t.Fatal("no link")
			}
			peer := dialing.hub.Peers()[0].Member.Incarnation
			text := string(make([]byte, c.length))
			got, err := linker.Call(t.Context(), dialing.hub, peer, "Length", text, textCodec, numberCodec)
			if c.fits && (err != nil || got != c.length) {
				t.Fatalf("got %d and error %v, want %d", got, err, c.length)
			}
			if !c.fits && err == nil {
				t.Fatalf("got %d, want an error", got)
			}
			if !c.fits {
				<-dialing.lost
				<-accepting.lost
				if got := accepting.refused.Load(); got != 1 {
					t.Errorf("got %d frames counted as refused, want 1", got)
				}
			}
		})
	}
}
