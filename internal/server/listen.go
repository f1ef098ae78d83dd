package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/lingerer"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/opener"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// writeLimit bounds the writing of an answer whose request set no deadline of
// its own.
const writeLimit = time.Minute

// listeners are the listeners with TLS where the settings ask for it.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	// lingering is below callers.
	lingering *lingerer.Listener
	// dialing, if not nil, is how peers are dialed.
	dialing *tls.Config
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			listener.Close()
		}
	}
}

// listen opens the listeners that settings name.
func listen(settings configurer.Settings) (Listeners, error) {
	var opened Listeners
	err := opener.Open(
		opener.Wanted{
			Field:   "Callers.Listen",
			Address: settings.Callers.Listen,
			Into:    &opened.Callers,
		},
		opener.Wanted{
			Field:   "Peers.Listen",
			Address: settings.Peers.Listen,
			Into:    &opened.Peers,
		},
		opener.Wanted{
			Field:   "Operators.Listen",
			Address: settings.Operators.Listen,
			Into:    &opened.Operators,
		},
	)
	return opened, err
}

// secure adds TLS to the listeners for which certificates are named.
func secure(settings configurer.Settings, opened Listeners) (listeners, error) {
	secured := listeners{
		lingering: lingerer.New(opened.Callers),
		peers:     opened.Peers,
		operators: opened.Operators,
	}
	callers, err := serverTLS(settings.Callers.CertificateFile, settings.Callers.KeyFile)
	if err != nil {
		return secured, eris.Wrap(err, "Callers.CertificateFile")
	}
	operators, err := serverTLS(settings.Operators.CertificateFile, settings.Operators.KeyFile)
	if err != nil {
		return secured, eris.Wrap(err, "Operators.CertificateFile")
	}
	peers, err := serverTLS(settings.Peers.CertificateFile, settings.Peers.KeyFile)
	if err != nil {
		return secured, eris.Wrap(err, "Peers.CertificateFile")
	}
	secured.callers = withTLS(secured.lingering, callers)
	secured.operators = withTLS(opened.Operators, operators)
	secured.peers = withTLS(opened.Peers, peers)
	secured.dialing, err = dialTLS(settings.Peers.AuthorityFile)
	return secured, eris.Wrap(err, "Peers.AuthorityFile")
}

func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// serverTLS returns the configuration of a certificate, or nil if none is named.
func serverTLS(certificateFile, keyFile string) (*tls.Config, error) {
	if certificateFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// dialTLS returns how to dial peers whose certificates an authority has signed,
// or nil if none is named.
func dialTLS(authorityFile string) (*tls.Config, error) {
	if authorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("no certificate in the file")
	}
	return &tls.Config{
		RootCAs:    pool,
		MinVersion: tls.VersionTLS12,
	}, nil
}

// startListeners serves the three listeners and returns how to stop: callers get
// until the context's end to finish, the others are closed.
func (s *Server) startListeners(group *errgroup.Group, work context.Context) func(context.Context) {
	callers := s.httpServer(s.receiverWhileLeaving())
	callers.MaxHeaderBytes = s.settings.Callers.MaxHeaderBytes
	peers := s.httpServer(s.peerHandler())
	peers.WriteTimeout = 0
	operators := s.httpServer(s.operatorHandler())
	opener.Serve(group, callers, s.listeners.callers)
	opener.Serve(group, peers, s.listeners.peers)
	opener.Serve(group, operators, s.listeners.operators)
	context.AfterFunc(work, func() {
		peers.Close()
		operators.Close()
	})
	return func(ctx context.Context) {
		if callers.Shutdown(ctx) != nil {
			callers.Close()
		}
		s.listeners.lingering.Wait()
	}
}

func (s *Server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(s.settings.Callers.HeaderMillis) * time.Millisecond,
		IdleTimeout:       time.Duration(s.settings.Callers.IdleMillis) * time.Millisecond,
		WriteTimeout:      writeLimit,
		// Lines are for changes of state only; broken connections are counted.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// receiverWhileLeaving tells callers on open connections to go once the instance
// is leaving. An idle connection is left open until the drain ends, so that none
// is closed under a request that is just being sent.
func (s *Server) receiverWhileLeaving() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		s.receiver.ServeHTTP(w, request)
	})
}

func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+linker.Path, s.hub)
	return mux
}

func (s *Server) operatorHandler() http.Handler {
	// The settings were checked, so the hash is well formed.
	hash, _ := declarer.ParseKeyHash(s.settings.Operators.KeyHash)
	return responder.New(s.operatorParts(hash))
}
