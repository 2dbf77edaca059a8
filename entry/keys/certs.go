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

// Certs are the files that prove who an entry is. They are read at each handshake,
// so they can be changed without a restart.
type Certs struct {
	// CertFile and KeyFile hold the entry's certificate and key, CAFile the
	// certificates that peers are checked against.
	CertFile, KeyFile, CAFile string
}

// ServerConfig returns the settings of a listener. With peersOnly it asks for a
// certificate that the CA has signed.
func (c Certs) ServerConfig(peersOnly bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			own, pool, err := c.load()
			if err != nil {
				return nil, err
			}
			out := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}}
			if peersOnly {
				out.ClientAuth, out.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return out, nil
		},
	}
}

// Client returns an HTTP client that shows the entry's certificate to peers.
func (c Certs) Client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		own, pool, err := c.load()
		if err != nil {
			return nil, err
		}
		d := tls.Dialer{Config: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, RootCAs: pool,
		}}
		return d.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialTLSContext: dial}}
}

func (c Certs) load() (tls.Certificate, *x509.CertPool, error) {
	own, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return own, nil, fault.At("read-certificate", c.CertFile, err)
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return own, nil, fault.At("read-certificate", c.CAFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return own, nil, fault.At("read-certificate", c.CAFile, fmt.Errorf("the file holds no certificate"))
	}
	return own, pool, nil
}
