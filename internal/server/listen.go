package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/fronter"
	"github.com/hemlockport/hemlockport/internal/linker"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// listeners are the open listeners of the instance, with TLS where the settings name certificates.
type listeners struct {
	callers   *fronter.Listener
	peers     *fronter.Listener
	operators *fronter.Listener
	// peerTLS is the configuration for dialing peers, or nil to dial without TLS.
	peerTLS *tls.Config
}

// openListeners opens the listeners that the settings name.
func openListeners(settings configurer.Settings, registry metrics.Registry, log zerolog.Logger) (listeners, error) {
	callers, err := serverTLS(settings.Callers.CertificateFile, settings.Callers.KeyFile)
	if err != nil {
		return listeners{}, eris.Wrap(err, "Callers.CertificateFile")
	}
	operators, err := serverTLS(settings.Operators.CertificateFile, settings.Operators.KeyFile)
	if err != nil {
		return listeners{}, eris.Wrap(err, "Operators.CertificateFile")
	}
	peers, err := serverTLS(settings.Peers.CertificateFile, settings.Peers.KeyFile)
	if err != nil {
		return listeners{}, eris.Wrap(err, "Peers.CertificateFile")
	}
	peerTLS, err := peerClientTLS(settings.Peers.AuthorityFile)
	if err != nil {
		return listeners{}, eris.Wrap(err, "Peers.AuthorityFile")
	}
	bounds := fronter.BoundsOf(settings)
	opened, err := fronter.Open(registry, log,
		fronter.CallersSpec(settings, bounds).WithTLS(callers),
		fronter.PeersSpec(settings, bounds).WithTLS(peers),
		fronter.OperatorsSpec(settings, bounds).WithTLS(operators),
	)
	if err != nil {
		return listeners{}, err
	}
	return listeners{
		callers:   opened[0],
		peers:     opened[1],
		operators: opened[2],
		peerTLS:   peerTLS,
	}, nil
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
	s.listeners.peers.ServeUntil(work, group, s.peerHandler(), s.settings.Callers, s.logPanic, pipeliner.WithUpgrades())
	s.listeners.operators.ServeUntil(work, group, s.operatorHandler(), s.settings.Callers, s.logPanic)
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
