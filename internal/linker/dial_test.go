package linker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestDialerRestsWhileLinked guards against dialing loops that check again and again whether
// there is a link: with hundreds of instances, most of the wake-ups of a process were theirs.
func TestDialerRestsWhileLinked(t *testing.T) {
	const address = "10.0.0.1:8381"
	cases := []struct {
		name string
		// linked is the time for which there is a link.
		linked time.Duration
	}{
		{
			name:   "a link that closes soon",
			linked: 200 * time.Millisecond,
		},
		{
			name:   "a link that lasts",
			linked: time.Hour,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hub := New(Options{})
				if hub.awaitLinkEnd(t.Context(), address) {
					t.Fatal("got true without a link, want false")
				}
				established := newLink(hub, nil, registrar.Member{
					Incarnation: "entry-1/1",
					PeerAddress: address,
				})
				hub.linksByAddress[address] = established
				start := time.Now()
				time.AfterFunc(c.linked, func() { close(established.ended) })
				if !hub.awaitLinkEnd(t.Context(), address) {
					t.Fatal("got false with a link, want true")
				}
				if waited := time.Since(start); waited != c.linked {
					t.Errorf("got a wait of %v, want %v", waited, c.linked)
				}
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				if !hub.awaitLinkEnd(ctx, address) {
					t.Error("got false after the end of the context, want true")
				}
			})
		})
	}
}
