package linker_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/timestamper"
)

const (
	// waitLimit bounds each wait for a link to open or close.
	waitLimit = 10 * time.Second
	// dialLimit is long enough for several attempts to dial.
	dialLimit = time.Second
)

var numberCodec = encoder.CBOR[int]{}

// node is a hub with the address that it accepts links on.
type node struct {
	hub     *linker.Hub
	address string
	// lost receives the name of the peer of each link that closes.
	lost chan string
	// refused counts the frames that found no room.
	refused atomic.Int64
}

// startNode runs a hub with the topic Double, which doubles a number and returns an
// error for a negative one.
func startNode(t *testing.T, name, secret string) *node {
	t.Helper()
	return startBounded(t, name, secret, 0)
}

// startBounded is startNode with a bound on what received frames hold, in bytes.
func startBounded(t *testing.T, name, secret string, frameBytes int64) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &node{
		address: listener.Addr().String(),
		lost:    make(chan string, 16),
	}
	started.hub = linker.New(linker.Options{
		Self: registrar.Member{
			Incarnation: name,
			Name:        name,
			PeerAddress: started.address,
		},
		Secret:      secret,
		Clock:       timestamper.New(time.Now),
		Heartbeat:   func() linker.Heartbeat { return linker.Heartbeat{Revision: 7} },
		OnHeartbeat: func(linker.Heartbeat) {},
		OnChange:    func(_ registrar.Member, _, _ linker.Heartbeat) {},
		OnLinkLost:  func(peer registrar.Member) { started.lost <- peer.Name },
		FrameBytes:  frameBytes,
		OnRefused:   func() { started.refused.Add(1) },
	})
	double := handler.QueryFunc[int, int](func(_ context.Context, number int) (int, error) {
		if number < 0 {
			return 0, errors.New("negative")
		}
		return 2 * number, nil
	})
	linker.Handle(started.hub, "Double", double, numberCodec, numberCodec)
	server := httptest.NewUnstartedServer(started.hub)
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return started.hub.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		server.Close()
	})
	return started
}

// awaitPeer makes the node maintain links to the addresses and reports whether it has
// a linked peer within waitLimit.
func (n *node) awaitPeer(t *testing.T, addresses ...string) bool {
	t.Helper()
	return n.awaitPeerWithin(t, waitLimit, addresses...)
}

// awaitPeerWithin is awaitPeer with another limit. It names the addresses again and again, since
// the hub passes them over until it runs.
func (n *node) awaitPeerWithin(t *testing.T, limit time.Duration, addresses ...string) bool {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		n.hub.SetPeers(addresses, false)
		if len(n.hub.Peers()) > 0 {
			return true
		}
		<-ticker.C
	}
	return false
}

// dialOrder returns the two nodes in the order of their addresses: the hub with the
// lower address dials.
func dialOrder(a, b *node) (dialing, accepting *node) {
	if a.address < b.address {
		return a, b
	}
	return b, a
}

const secret = "0123456789abcdef"

func TestBothEndsOfALinkCanCall(t *testing.T) {
	dialing, accepting := dialOrder(startNode(t, "a", secret), startNode(t, "b", secret))
	if !dialing.awaitPeer(t, accepting.address) || !accepting.awaitPeer(t) {
		t.Fatalf("no link between %s and %s within %s", dialing.address, accepting.address, waitLimit)
	}
	for _, pair := range [][2]*node{{dialing, accepting}, {accepting, dialing}} {
		peer := pair[0].hub.Peers()[0]
		if peer.Heartbeat.Revision != 7 {
			t.Fatalf("got heartbeat %+v, want revision 7", peer.Heartbeat)
		}
		answer, err := linker.Call(t.Context(), pair[0].hub, peer.Member.Incarnation, "Double", 21, numberCodec, numberCodec)
		if err != nil || answer != 42 {
			t.Fatalf("call of Double(21) to %s: got %d and error %v, want 42", peer.Member.Name, answer, err)
		}
		_, err = linker.Call(t.Context(), pair[0].hub, peer.Member.Incarnation, "Double", -1, numberCodec, numberCodec)
		if err == nil || err.Error() != "negative" {
			t.Fatalf("call of Double(-1) to %s: got error %v, want the handler's error \"negative\"", peer.Member.Name, err)
		}
		if _, err = linker.Call(t.Context(), pair[0].hub, peer.Member.Incarnation, "Halve", 1, numberCodec, numberCodec); err == nil {
			t.Fatal("got an answer on the unknown topic Halve, want an error")
		}
	}
	if _, err := linker.Call(t.Context(), dialing.hub, "nobody", "Double", 1, numberCodec, numberCodec); !errors.Is(err, linker.ErrNoLink) {
		t.Fatalf("call to an unknown incarnation: got error %v, want ErrNoLink", err)
	}
}

func TestWrongSecretGetsNoLink(t *testing.T) {
	dialing, accepting := dialOrder(startNode(t, "a", secret), startNode(t, "b", "another secret 0"))
	if dialing.awaitPeerWithin(t, dialLimit, accepting.address) || len(accepting.hub.Peers()) != 0 {
		t.Fatal("got a link between nodes with different secrets, want none")
	}
}

// relay forwards bytes in both directions until silent is closed. From then on it
// drops them and keeps its connections open.
type relay struct {
	net.Listener
	silent chan struct{}
	// edit changes the bytes that come from the target.
	edit func([]byte) []byte
}

// newRelay starts a relay that forwards to the target address.
func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	return newEditingRelay(t, target, func(data []byte) []byte { return data })
}

// newEditingRelay starts a relay that changes what comes from the target address.
func newEditingRelay(t *testing.T, target string, edit func([]byte) []byte) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.255.255.254:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		Listener: listener,
		silent:   make(chan struct{}),
		edit:     edit,
	}
	keep := func(data []byte) []byte { return data }
	var group errgroup.Group
	group.Go(func() error {
		for {
			near, err := listener.Accept()
			if err != nil {
				return nil
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			t.Cleanup(func() {
				near.Close()
				far.Close()
			})
			group.Go(func() error { return r.forward(near, far, keep) })
			group.Go(func() error { return r.forward(far, near, r.edit) })
		}
	})
	t.Cleanup(func() { listener.Close() })
	return r
}

func (r *relay) forward(from io.Reader, to io.Writer, edit func([]byte) []byte) error {
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return nil
		}
		select {
		case <-r.silent:
			continue
		default:
		}
		if _, err = to.Write(edit(buffer[:count])); err != nil {
			return nil
		}
	}
}

// TestMalformedHandshakeOpensNoLink guards against a link that opens by an answer which is none.
func TestMalformedHandshakeOpensNoLink(t *testing.T) {
	cases := []struct {
		name string
		// before is replaced by after in the answer.
		before string
		after  string
		links  bool
	}{
		{
			name:  "nothing, so that the link opens",
			links: true,
		},
		{
			name:   "a blank in a name",
			before: "\r\nUpgrade:",
			after:  "\r\nX Quilt: 1\r\nUpgrade:",
		},
		{
			name:   "two blanks before the status",
			before: "HTTP/1.1 101",
			after:  "HTTP/1.1  101",
		},
		{
			name:   "a length",
			before: "\r\nUpgrade:",
			after:  "\r\nContent-Length: 5\r\nUpgrade:",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dialing, accepting := startNode(t, "a", secret), startNode(t, "b", secret)
			proxy := newEditingRelay(t, accepting.address, func(data []byte) []byte {
				return bytes.Replace(data, []byte(c.before), []byte(c.after), 1)
			})
			limit := dialLimit
			if c.links {
				limit = waitLimit
			}
			links := dialing.awaitPeerWithin(t, limit, proxy.Addr().String())
			if links != c.links || !links && len(accepting.hub.Peers()) != 0 {
				t.Errorf("got a link: %t, want %t", links, c.links)
			}
		})
	}
}

// TestBothEndsCloseASilentLink guards against links that stay up when a device between
// the two ends drops the traffic of their connection without closing it. Both ends must
// close the link within the silence timeout.
func TestBothEndsCloseASilentLink(t *testing.T) {
	near, far := startNode(t, "a", secret), startNode(t, "b", secret)
	proxy := newRelay(t, far.address)
	if !near.awaitPeer(t, proxy.Addr().String()) || !far.awaitPeer(t) {
		t.Fatalf("no link to %s through the relay within %s", far.address, waitLimit)
	}
	close(proxy.silent)
	start := time.Now()
	for _, end := range []*node{near, far} {
		select {
		case <-end.lost:
		case <-time.After(waitLimit):
			t.Fatalf("the link did not close within %s at one of its ends", waitLimit)
		}
	}
	// The timeout is 2 s. The other 3 s allow for a busy machine.
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Fatalf("both ends closed the link after %s, want at most 5s", elapsed)
	}
}

// FuzzFrame checks that each frame that decodes can be encoded and decoded again.
func FuzzFrame(f *testing.F) {
	codec := encoder.CBOR[linker.Frame]{}
	for _, frame := range []linker.Frame{
		{
			Kind: linker.KindHeartbeat,
			Body: []byte{0xa0},
		},
		{
			Kind:  linker.KindCall,
			ID:    1,
			Topic: "Bundle",
		},
	} {
		data, err := codec.Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := codec.Decode(data)
		if err != nil {
			return
		}
		encoded, err := codec.Encode(frame)
		if err != nil {
			t.Fatalf("encode the decoded frame %+v: %v", frame, err)
		}
		if _, err = codec.Decode(encoded); err != nil {
			t.Fatalf("decode the re-encoded frame %+v: %v", frame, err)
		}
	})
}
