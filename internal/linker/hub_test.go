package linker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/pkg/handler"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/stamper"
)

// patience bounds each wait of these tests.
const patience = 10 * time.Second

var numbers = encoder.CBOR[int]{}

// node is a hub with its listener.
type node struct {
	hub     *linker.Hub
	address string
	lost    chan string
}

// start runs a hub that doubles numbers.
func start(t *testing.T, name, secret string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &node{
		address: listener.Addr().String(),
		lost:    make(chan string, 16),
	}
	started.hub = linker.New(linker.Parts{
		Self: registrar.Member{
			Incarnation: name,
			Name:        name,
			PeerAddress: started.address,
		},
		Secret:  secret,
		Clock:   stamper.New(time.Now),
		Beat:    func() linker.Beat { return linker.Beat{Revision: 7} },
		Heard:   func(linker.Beat) {},
		Changed: func(_ registrar.Member, _, _ linker.Beat) {},
		Lost:    func(peer registrar.Member) { started.lost <- peer.Name },
	})
	double := handler.QueryFunc[int, int](func(_ context.Context, number int) (int, error) {
		if number < 0 {
			return 0, errors.New("negative")
		}
		return 2 * number, nil
	})
	linker.Handle(started.hub, "Double", double, numbers, numbers)
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

// link lets both nodes keep links to an address each, until one has a peer.
func (n *node) await(t *testing.T, addresses ...string) bool {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		n.hub.SetPeers(addresses, false)
		if len(n.hub.Peers()) > 0 {
			return true
		}
		<-ticker.C
	}
	return false
}

// ordered returns two nodes of which the first dials.
func ordered(a, b *node) (dialing, accepting *node) {
	if a.address < b.address {
		return a, b
	}
	return b, a
}

const secret = "0123456789abcdef"

func TestAsk(t *testing.T) {
	dialing, accepting := ordered(start(t, "a", secret), start(t, "b", secret))
	if !dialing.await(t, accepting.address) || !accepting.await(t) {
		t.Fatal("no link")
	}
	for _, pair := range [][2]*node{{dialing, accepting}, {accepting, dialing}} {
		peer := pair[0].hub.Peers()[0]
		if peer.Beat.Revision != 7 {
			t.Fatalf("beat %+v", peer.Beat)
		}
		answer, err := linker.Ask(t.Context(), pair[0].hub, peer.Member.Incarnation, "Double", 21, numbers, numbers)
		if err != nil || answer != 42 {
			t.Fatalf("got %d, %v", answer, err)
		}
		_, err = linker.Ask(t.Context(), pair[0].hub, peer.Member.Incarnation, "Double", -1, numbers, numbers)
		if err == nil || err.Error() != "negative" {
			t.Fatalf("got %v", err)
		}
		if _, err = linker.Ask(t.Context(), pair[0].hub, peer.Member.Incarnation, "Halve", 1, numbers, numbers); err == nil {
			t.Fatal("an unknown topic was answered")
		}
	}
	if _, err := linker.Ask(t.Context(), dialing.hub, "nobody", "Double", 1, numbers, numbers); !errors.Is(err, linker.ErrNoLink) {
		t.Fatalf("got %v, want ErrNoLink", err)
	}
}

func TestWrongSecretGetsNoLink(t *testing.T) {
	dialing, accepting := ordered(start(t, "a", secret), start(t, "b", "another secret 0"))
	dialing.hub.SetPeers([]string{accepting.address}, false)
	// Long enough for several tries.
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	<-timer.C
	if len(dialing.hub.Peers())+len(accepting.hub.Peers()) != 0 {
		t.Fatal("a link without the secret")
	}
}

// relay passes bytes between two ends until it is told to lose them.
type relay struct {
	net.Listener
	silent chan struct{}
}

// newRelay listens in front of a target. Its connections go silent for good, and
// stay open, once silent is closed.
func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.255.255.254:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		Listener: listener,
		silent:   make(chan struct{}),
	}
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
			group.Go(func() error { return r.pass(near, far) })
			group.Go(func() error { return r.pass(far, near) })
		}
	})
	t.Cleanup(func() { listener.Close() })
	return r
}

func (r *relay) pass(from io.Reader, to io.Writer) error {
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
		if _, err = to.Write(buffer[:count]); err != nil {
			return nil
		}
	}
}

// TestSilentLinkEnds loses track of a link's connection between the two ends.
// Both ends give it up within the limit for silence.
func TestSilentLinkEnds(t *testing.T) {
	near, far := start(t, "a", secret), start(t, "b", secret)
	between := newRelay(t, far.address)
	if !near.await(t, between.Addr().String()) || !far.await(t) {
		t.Fatal("no link")
	}
	close(between.silent)
	begun := time.Now()
	for _, end := range []*node{near, far} {
		select {
		case <-end.lost:
		case <-time.After(patience):
			t.Fatal("the link did not end")
		}
	}
	// The limit is 2 s; the rest is for a busy machine.
	if taken := time.Since(begun); taken > 5*time.Second {
		t.Fatalf("the link ended after %s", taken)
	}
}

func FuzzFrame(f *testing.F) {
	codec := encoder.CBOR[linker.Frame]{}
	for _, frame := range []linker.Frame{
		{
			Kind: linker.KindBeat,
			Body: []byte{0xa0},
		},
		{
			Kind:  linker.KindAsk,
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
		again, err := codec.Encode(frame)
		if err != nil {
			t.Fatalf("%+v does not encode: %v", frame, err)
		}
		if _, err = codec.Decode(again); err != nil {
			t.Fatalf("%+v does not decode again: %v", frame, err)
		}
	})
}
