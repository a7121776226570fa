package pkpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkmember"
)

// authority is a CA that signs the certificates of entries.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	cert := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err = x509.ParseCertificate(raw)
	assert.NilError(t, err)
	return authority{cert: cert, key: key}
}

// issue writes an identity that is valid until end into folder.
func (a authority) issue(t *testing.T, folder string, end time.Time) Identity {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: end, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	i := Identity{Cert: filepath.Join(folder, "cert"), Key: filepath.Join(folder, "key"), CA: filepath.Join(folder, "ca")}
	writePEM(t, i.Cert, "CERTIFICATE", raw)
	writePEM(t, i.Key, "EC PRIVATE KEY", secret)
	writePEM(t, i.CA, "CERTIFICATE", a.cert.Raw)
	return i
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// exchange connects a client to a server and exchanges one message in each direction.
func exchange(t *testing.T, server, client Identity) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := NewTransport[pkmember.Message](server, pkconn.DefaultOptions())
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := n.Accept(w, r)
		if err != nil {
			return
		}
		if m, err := c.Receive(r.Context()); err == nil {
			_, _ = c.Send(r.Context(), m)
		}
		_ = c.Close()
	})}
	go func() { _ = srv.Serve(n.Listen(l)) }()
	defer func() { _ = srv.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := NewTransport[pkmember.Message](client, pkconn.DefaultOptions()).Dial(ctx, l.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Send(ctx, pkmember.Message{Leaving: true}); err != nil {
		return err
	}
	_, err = c.Receive(ctx)
	return err
}

// Peers without a valid certificate of the same CA must be rejected.
func TestPeersRequireValidCertificates(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	valid := time.Now().Add(time.Hour)
	good := ours.issue(t, t.TempDir(), valid)
	cases := map[string]struct {
		server, client Identity
		accepted       bool
	}{
		"same authority":              {good, ours.issue(t, t.TempDir(), valid), true},
		"client of another authority": {good, others.issue(t, t.TempDir(), valid), false},
		"client expired":              {good, ours.issue(t, t.TempDir(), time.Now().Add(-time.Hour)), false},
		"client without identity":     {good, Identity{}, false},
		"server expired":              {ours.issue(t, t.TempDir(), time.Now().Add(-time.Hour)), good, false},
		"server of another authority": {others.issue(t, t.TempDir(), valid), good, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := exchange(t, c.server, c.client)
			assert.Equal(t, err == nil, c.accepted, "%v", err)
		})
	}
}

// Identity files that are replaced at run time must be used for the next connection.
func TestReplacedIdentityIsUsed(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	valid := time.Now().Add(time.Hour)
	identity := a.issue(t, folder, valid)
	assert.Assert(t, exchange(t, identity, b.issue(t, t.TempDir(), valid)) != nil)
	b.issue(t, folder, valid)
	assert.NilError(t, exchange(t, identity, b.issue(t, t.TempDir(), valid)))
}
