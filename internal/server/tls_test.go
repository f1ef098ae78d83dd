package server_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/certifier"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/internal/server"
	"github.com/hemlockport/hemlockport/internal/standin/platformer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	operatorKey = "the-operators-key"
	linkTimeout = 20 * time.Second
)

func startInstance(t *testing.T, group *errgroup.Group, ctx context.Context, settings configurer.Settings) *server.Server {
	t.Helper()
	instance, err := server.New(settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	group.Go(func() error { return instance.Run(ctx) })
	return instance
}

// TestPeersLinkOverTLSAndCallersNeedTLS runs two instances whose callers' and peers'
// listeners have certificates. The instances must link with each other; callers with TLS
// must get an answer of the instance, and callers without TLS status 400.
func TestPeersLinkOverTLSAndCallersNeedTLS(t *testing.T) {
	certificateFile, keyFile := certifier.Write(t)
	platform := httptest.NewServer(platformer.New(memstorer.New()))
	t.Cleanup(platform.Close)
	settings := configurer.Defaults()
	settings.Place = "derby"
	settings.Callers.Listen = "127.0.0.1:0"
	settings.Callers.CertificateFile = certificateFile
	settings.Callers.KeyFile = keyFile
	settings.Peers.Listen = "127.0.0.1:0"
	settings.Peers.Secret = "0123456789abcdef"
	settings.Peers.CertificateFile = certificateFile
	settings.Peers.KeyFile = keyFile
	settings.Peers.AuthorityFile = certificateFile
	settings.Operators.Listen = "127.0.0.1:0"
	settings.Operators.KeyHash = declarer.HashKey(operatorKey).String()
	settings.Platform.Address = platform.URL
	settings.Drain.GraceMillis = 0
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	settings.Name = "first"
	first := startInstance(t, group, ctx, settings)
	settings.Name = "second"
	startInstance(t, group, ctx, settings)
	client := operator.New(first.OperatorAddress(), operatorKey)
	_, err := client.Change(ctx, publisher.Change{
		Document: declarer.Document{
			Place: []declarer.Place{
				{
					Name:   "derby",
					Region: "east",
					Seats:  2,
				},
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	linked := launcher.Await(ctx, linkTimeout, func() bool {
		status, err := client.Status(ctx)
		return err == nil && len(status.Peers) == 1 && status.Peers[0].Linked
	})
	if !linked {
		t.Fatalf("got no link between the instances within %v, want one", linkTimeout)
	}
	checkCallerTLS(t, certificateFile, first.CallerAddress())
}

func checkCallerTLS(t *testing.T, certificateFile, address string) {
	t.Helper()
	secured := &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				RootCAs: certifier.Pool(t, certificateFile),
			},
		},
	}
	cases := []struct {
		name   string
		client *http.Client
		scheme string
		status int
	}{
		{
			name:   "with TLS",
			client: secured,
			scheme: "https",
			status: http.StatusNotFound,
		},
		{
			name:   "without TLS",
			client: http.DefaultClient,
			scheme: "http",
			status: http.StatusBadRequest,
		},
	}
	for _, c := range cases {
		response, err := c.client.Get(c.scheme + "://" + address + "/")
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("GET / %s: got status %d, want %d", c.name, response.StatusCode, c.status)
		}
	}
}
