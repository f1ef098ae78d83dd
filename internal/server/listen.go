package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/binder"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// writeTimeout bounds the writing of an answer to a request without a deadline of
// its own.
const writeTimeout = time.Minute

// servedListeners are the listeners that the instance serves: those of Listeners, with
// TLS where the settings name certificates.
type servedListeners struct {
	callers   *fronter.Listener
	peers     net.Listener
	operators net.Listener
	// peerTLS is the configuration for dialing peers, or nil to dial without TLS.
	peerTLS *tls.Config
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			listener.Close()
		}
	}
}

// listen opens the listeners that the settings name.
func listen(settings configurer.Settings) (Listeners, error) {
	var opened Listeners
	err := binder.Open(
		binder.Binding{
			Setting:  "Callers.Listen",
			Address:  settings.Callers.Listen,
			Listener: &opened.Callers,
		},
		binder.Binding{
			Setting:  "Peers.Listen",
			Address:  settings.Peers.Listen,
			Listener: &opened.Peers,
		},
		binder.Binding{
			Setting:  "Operators.Listen",
			Address:  settings.Operators.Listen,
			Listener: &opened.Operators,
		},
	)
	return opened, err
}

// addTLS adds TLS to the listeners for which the settings name a certificate.
func addTLS(
	settings configurer.Settings,
	opened Listeners,
	registry metrics.Registry,
	log zerolog.Logger,
) (servedListeners, error) {
	bounds := fronter.BoundsOf(settings.Capacity)
	secured := servedListeners{
		callers: fronter.New(opened.Callers, fronter.Options{
			Name:         "callers",
			Share:        bounds.Callers,
			ReceiveBytes: bounds.ReceiveBytes,
			Registry:     registry,
			Log:          log,
		}),
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
	secured.callers = secured.callers.WithTLS(callers)
	secured.operators = withTLS(opened.Operators, operators)
	secured.peers = withTLS(opened.Peers, peers)
	secured.peerTLS, err = peerClientTLS(settings.Peers.AuthorityFile)
	return secured, eris.Wrap(err, "Peers.AuthorityFile")
}

func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// serverTLS returns the TLS configuration for a certificate, or nil if no
// certificate is named.
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

// peerClientTLS returns the TLS configuration for dialing peers whose certificates
// an authority has signed, or nil if no authority is named.
func peerClientTLS(authorityFile string) (*tls.Config, error) {
	if authorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("file %q holds no certificate in PEM", authorityFile)
	}
	return &tls.Config{
		RootCAs:    pool,
		MinVersion: tls.VersionTLS12,
	}, nil
}

// startListeners serves the three listeners. The function that it returns stops
// serving callers, whose requests may finish until its context ends; the peers' and
// operators' servers are closed when work ends.
func (s *Server) startListeners(group *errgroup.Group, work context.Context) func(context.Context) {
	callers := s.listeners.callers.Serve(group, s.callerHandler(), s.settings.Callers, s.logPanic,
		pipeliner.WithUnsafe(s.receiver.IsUnsafe))
	peers := s.httpServer(s.peerHandler())
	peers.WriteTimeout = 0
	operators := s.httpServer(s.operatorHandler())
	binder.Serve(group, peers, s.listeners.peers)
	binder.Serve(group, operators, s.listeners.operators)
	context.AfterFunc(work, func() {
		peers.Close()
		operators.Close()
	})
	return func(ctx context.Context) {
		// An error says that requests were aborted, which callers and the log have been told.
		_ = callers.Shutdown(ctx)
		s.listeners.callers.Lingering.Wait()
	}
}

// logPanic logs a panic of a handler.
func (s *Server) logPanic(reason any) {
	s.log.Error().Interface("reason", reason).Msg("HandlerPanicked")
}

func (s *Server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(s.settings.Callers.HeaderMillis) * time.Millisecond,
		MaxHeaderBytes:    s.settings.Callers.MaxHeaderBytes,
		IdleTimeout:       time.Duration(s.settings.Callers.IdleMillis) * time.Millisecond,
		WriteTimeout:      writeTimeout,
		// The log has lines for changes of state only; broken connections are
		// counted.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// callerHandler returns the handler of callers' requests. While the instance is
// leaving, each answer tells the caller to close its connection. Idle connections
// stay open until the drain ends, so that none is closed while a caller is sending a
// request on it.
func (s *Server) callerHandler() http.Handler {
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
	// The settings have been checked, so the hash is well formed.
	hash, _ := declarer.ParseKeyHash(s.settings.Operators.KeyHash)
	return responder.New(s.operatorOptions(hash))
}
