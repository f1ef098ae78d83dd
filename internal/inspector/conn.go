package inspector

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Conn is a connection to a server whose answers are checked as they are read. A malformed one
// closes it.
type Conn struct {
	net.Conn
	// checker is used by the goroutine that reads.
	checker Checker
	// answersHead reports that the next final answer is one to a HEAD request.
	answersHead atomic.Bool
	// malformed is the error with which reading has ended, or nil.
	malformed atomic.Pointer[MalformedError]
}

// NewConn returns a connection that checks the answers of another one.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Expect records the method of the request that is about to be sent, once the answer to the one
// before has been read. Without it, answers are checked as those to any method but HEAD.
func (c *Conn) Expect(method string) {
	c.answersHead.Store(method == http.MethodHead)
}

// Malformed returns what was wrong with an answer that has arrived, or nil.
func (c *Conn) Malformed() *MalformedError {
	return c.malformed.Load()
}

// Read reads bytes of well-formed answers. Its error is a *MalformedError from a malformed line on.
func (c *Conn) Read(p []byte) (int, error) {
	if malformed := c.malformed.Load(); malformed != nil {
		return 0, malformed
	}
	count, err := c.Conn.Read(p)
	accepted, malformed := c.checker.Check(p[:count], c.answersHead.Load())
	if malformed == nil {
		return count, err
	}
	c.malformed.Store(malformed)
	c.Conn.Close()
	return accepted, malformed
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections of type *Conn. It is immutable: the With methods return changed copies.
type Dialer struct {
	dial     DialFunc
	upgrades bool
	// tls is nil for connections without TLS.
	tls *tls.Config
}

// NewDialer returns a dialer that opens the connections below with dial.
func NewDialer(dial DialFunc) Dialer {
	return Dialer{
		dial: dial,
	}
}

// WithUpgrades returns a copy for clients that ask to switch the protocol.
func (d Dialer) WithUpgrades() Dialer {
	d.upgrades = true
	return d
}

// WithTLS returns a copy whose connections use TLS, and check what arrives inside it. The
// configuration may be nil, which stands for the default one.
func (d Dialer) WithTLS(config *tls.Config) Dialer {
	if config == nil {
		config = &tls.Config{}
	}
	d.tls = config
	return d
}

// DialContext opens a connection.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.tls != nil {
		if conn, err = d.handshake(ctx, conn, address); err != nil {
			return nil, err
		}
	}
	checked := NewConn(conn)
	checked.checker.upgrades = d.upgrades
	return checked, nil
}

// Equip makes a transport open its connections with the dialer, those with TLS by its TLS
// configuration, and returns it. The transport must use no proxy for https, since a tunnel carries
// no answers that can be checked.
func (d Dialer) Equip(transport *http.Transport) *http.Transport {
	transport.DialContext = d.DialContext
	transport.DialTLSContext = d.WithTLS(transport.TLSClientConfig).DialContext
	return transport
}

// NewTransport returns a transport like http.DefaultTransport for URLs with a scheme, which checks
// answers unless they come through a proxy by https.
func NewTransport(scheme string) *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	plain := transport.DialContext
	NewDialer(plain).Equip(transport)
	if scheme == "https" {
		// Only connections to proxies are without TLS.
		transport.DialContext = plain
	}
	return transport
}

// handshakeTimeout bounds the TLS handshake.
const handshakeTimeout = 10 * time.Second

// handshake begins TLS on a connection, which it closes on an error.
func (d Dialer) handshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config := d.tls.Clone()
	if config.ServerName == "" {
		name, _, err := net.SplitHostPort(address)
		if err != nil {
			conn.Close()
			return nil, err
		}
		config.ServerName = name
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}
