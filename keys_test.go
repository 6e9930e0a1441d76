package main_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDaemonsWithKeys sends a call over a link between two processes that hold keys, and none to one that holds others.
func TestDaemonsWithKeys(t *testing.T) {
	c := qt.New(t)
	m := newMesh(c)
	m.Keys = keysTable(c)
	first := m.start("bookings", "mid-a", time.Millisecond)
	second := m.start("jobrecords", "mid-b", time.Millisecond)
	awaitReady(c, 2, first, second)
	a := second.call("GET", "bookings.example", "/diary/today", "token", "")
	c.Assert(a.Status, qt.Equals, 200, qt.Commentf("%+v", a))
	c.Assert(a.Token, qt.Equals, "token")

	m.Keys = keysTable(c) // of another authority
	stranger := m.start("jobrecords", "mid-c", time.Millisecond, first.Control)
	a = stranger.call("GET", "bookings.example", "/diary/today", "stranger", "")
	c.Check(a.Status, qt.Equals, 503, qt.Commentf("%+v", a))
	c.Check(m.Runs.Count("stranger"), qt.Equals, 0)
}

// keysTable writes the keys of a new authority and returns the settings that name them.
func keysTable(c *qt.C) string {
	dir := c.TempDir()
	ca, caKey := certificate(c, nil, nil)
	cert, key := certificate(c, ca, caKey)
	raw, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	files := map[string]*pem.Block{
		"ca.pem":   {Type: "CERTIFICATE", Bytes: ca.Raw},
		"cert.pem": {Type: "CERTIFICATE", Bytes: cert.Raw},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: raw},
	}
	for name, b := range files {
		c.Assert(os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(b), 0o600), qt.IsNil)
	}
	return fmt.Sprintf("[keys]\nca = %q\ncert = %q\nkey = %q\n", dir+"/ca.pem", dir+"/cert.pem", dir+"/key.pem")
}

// certificate makes a certificate signed by a parent, or an authority when there is none.
func certificate(c *qt.C, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "yuccaport"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return cert, key
}
