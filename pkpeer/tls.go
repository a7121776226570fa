package pkpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Identity names the files of a mutual TLS identity; the zero value means that
// peers speak without TLS.
type Identity struct {
	Cert string
	Key  string
	CA   string
}

// Used says whether there is an identity.
func (i Identity) Used() bool { return i.Cert != "" }

// server returns a configuration that reads the files for each handshake.
// Handshakes are rare, and a key that was rotated is in use at once, without a
// restart and without a watcher that could miss it.
func (i Identity) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := i.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// client returns a configuration for one connection.
func (i Identity) client() (*tls.Config, error) {
	cert, pool, err := i.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool}, nil
}

func (i Identity) load() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(i.Cert, i.Key)
	if err != nil {
		return cert, nil, fmt.Errorf("load peer identity: %w", err)
	}
	raw, err := os.ReadFile(i.CA)
	if err != nil {
		return cert, nil, fmt.Errorf("load peer CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return cert, nil, errors.New("the peer CA file holds no certificate")
	}
	return cert, pool, nil
}
