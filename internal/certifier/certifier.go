// Package certifier writes certificates for tests that start instances whose listeners use TLS.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// validity is for how long a certificate is valid before and after it is written.
const validity = time.Hour

// Write writes a self-signed certificate for the loopback address and its private key, which are
// removed when the test ends.
func Write(t testing.TB) (certificateFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-validity),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certificateFile = filepath.Join(dir, "certificate.pem")
	keyFile = filepath.Join(dir, "key.pem")
	writePEM(t, certificateFile, "CERTIFICATE", signed)
	writePEM(t, keyFile, "PRIVATE KEY", private)
	return certificateFile, keyFile
}

// Pool returns a pool that trusts a certificate.
func Pool(t testing.TB, certificateFile string) *x509.CertPool {
	t.Helper()
	trusted, err := os.ReadFile(certificateFile)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(trusted) {
		t.Fatalf("file %s holds no certificate", certificateFile)
	}
	return pool
}

func writePEM(t testing.TB, name, kind string, data []byte) {
	t.Helper()
	block := &pem.Block{
		Type:  kind,
		Bytes: data,
	}
	if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
}
