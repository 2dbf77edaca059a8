package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"

	"carawaymux.dev/fleet/fault"
)

// Certs names the files that an entry authenticates itself and its peers with. They are read at
// each TLS handshake, so they can be replaced without a restart.
type Certs struct {
	// CertFile and KeyFile hold the entry's certificate and private key. CAFile holds the CA
	// certificates that peers' certificates are verified against.
	CertFile, KeyFile, CAFile string
}

// ServerConfig returns the TLS configuration of a listener. With peersOnly, clients must present a
// certificate signed by the CA.
func (c Certs) ServerConfig(peersOnly bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, caPool, err := c.load()
			if err != nil {
				return nil, err
			}
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
			if peersOnly {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, caPool
			}
			return config, nil
		},
	}
}

// Client returns an HTTP client that presents the entry's certificate to peers and verifies theirs.
func (c Certs) Client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		cert, caPool, err := c.load()
		if err != nil {
			return nil, err
		}
		dialer := tls.Dialer{Config: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: caPool,
		}}
		return dialer.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialTLSContext: dial}}
}

func (c Certs) load() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return cert, nil, fault.At("read-certificate", c.CertFile, err)
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return cert, nil, fault.At("read-certificate", c.CAFile, err)
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(pem) {
		return cert, nil, fault.At("read-certificate", c.CAFile, fmt.Errorf("the file contains no valid PEM certificate"))
	}
	return cert, caPool, nil
}
