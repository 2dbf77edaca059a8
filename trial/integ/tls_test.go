package integ

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/site"
)

const (
	peerKey        = "peer-key-0123456789"
	operatorKey    = "operator-key-0123456789"
	newOperatorKey = "operator-key-9876543210"
)

// writeCerts writes a self-signed certificate for 127.0.0.1 and its key to dir, and returns a
// pool with the certificate.
func writeCerts(t *testing.T, dir string) *x509.CertPool {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "caraway"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	require.NoError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), cert, 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key.pem"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(cert))
	return pool
}

func TestConnectionsRequireTLSAndKeys(t *testing.T) {
	dir := t.TempDir()
	roots := writeCerts(t, dir)
	keyFile := filepath.Join(dir, "keys")
	require.NoError(t, os.WriteFile(keyFile, []byte("peer "+peerKey+"\noperator site "+operatorKey+"\n"), 0o600))
	cert := filepath.Join(dir, "cert.pem")
	p := twoZones()
	p.Pools[1].Zones = map[string]int{zoneB: 2}
	p.Settings = map[string][]string{
		"listen": {"clear = no", "tls-cert = " + cert, "tls-key = " + filepath.Join(dir, "key.pem"), "tls-ca = " + cert},
		"auth":   {"open = no", "key-file = " + keyFile},
	}
	clientWithKey := func(key string) func(string) *client.Client {
		return func(address string) *client.Client {
			secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}}
			return client.New("https://"+address, client.WithKey(key), client.WithHTTP(secure))
		}
	}
	f := start(t, p, site.WithClients(clientWithKey(operatorKey)))
	a := f.request(f.Entries[0], "remittances")
	require.Equal(t, wire.Done, a.Outcome, a.Reason)
	require.Equal(t, zoneB, f.zoneOf(a.Entry), "the request was not forwarded to an entry of the other zone")

	publish := func(key, object string) error {
		_, err := clientWithKey(key)(f.Entries[0].HTTP).Publish(f.ctx, client.NewRecord(site.Author, object, 0, budget.Spec{}))
		return err
	}
	for _, key := range []string{"", peerKey, newOperatorKey} {
		var refused *client.Error
		require.ErrorAs(t, publish(key, "no"), &refused)
		require.Equal(t, http.StatusUnauthorized, refused.Status)
	}
	require.Error(t, func() error {
		_, err := clientWithKey(operatorKey)(f.Entries[0].HTTP).Publish(f.ctx, client.NewRecord("someone-else", "no", 0, budget.Spec{}))
		return err
	}(), "an operator published under the name of another author")
	// A peer without a certificate is refused in the TLS handshake.
	conn, err := tls.Dial("tcp", f.Entries[0].Peer, &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13})
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout())

	// A peer with a certificate but without the peer key is refused as unauthorized.
	own, err := tls.LoadX509KeyPair(cert, filepath.Join(dir, "key.pem"))
	require.NoError(t, err)
	keylessClient := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{
		RootCAs: roots, MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own},
	}}}
	resp, err := keylessClient.Get("https://" + f.Entries[0].Peer + "/peer/control")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)

	require.NoError(t, os.WriteFile(keyFile, []byte("peer "+peerKey+"\noperator site "+newOperatorKey+"\n"), 0o600))
	require.Eventually(t, func() bool { return publish(newOperatorKey, "yes") == nil }, 10*time.Second, 100*time.Millisecond)
	require.Error(t, publish(operatorKey, "no"))
}
