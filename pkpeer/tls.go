package pkpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Identity names the files for mutual TLS; the zero value disables TLS between peers.
type Identity struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether an identity is configured.
func (i Identity) Enabled() bool { return i.Cert != "" }

// server returns a configuration that loads the files at each handshake, so that rotated keys take
// effect without a restart or a file watcher.
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
		return cert, nil, errors.New("peer CA file contains no certificate")
	}
	return cert, pool, nil
}
