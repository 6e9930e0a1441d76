package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// testCA signs certificates for a test.
type testCA struct {
	tb   testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newTestCA(tb testing.TB) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(tb, err, qt.IsNil)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	qt.Assert(tb, err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	qt.Assert(tb, err, qt.IsNil)
	return &testCA{tb, cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issueKeys writes the key files of a daemon that trusts roots to dir.
func (a *testCA) issueKeys(dir string, roots *testCA) *Keys {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(a.tb, err, qt.IsNil)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	qt.Assert(a.tb, err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	qt.Assert(a.tb, err, qt.IsNil)
	k := &Keys{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
	for name, b := range map[string][]byte{
		k.CertFile: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		k.KeyFile:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		k.CAFile:   roots.pem,
	} {
		qt.Assert(a.tb, os.WriteFile(name, b, 0o600), qt.IsNil)
	}
	return k
}

func TestMutualTLS(t *testing.T) {
	ours, other := newTestCA(t), newTestCA(t)
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(echo), Keys: ours.issueKeys(t.TempDir(), ours)})
	tests := map[string]struct {
		keys *Keys
		ok   bool
	}{
		"same CA":                         {keys: ours.issueKeys(t.TempDir(), ours), ok: true},
		"certificate of another CA":       {keys: other.issueKeys(t.TempDir(), ours)},
		"CA of the server is not trusted": {keys: ours.issueKeys(t.TempDir(), other)},
		"no keys":                         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: 1, Keys: test.keys}
			t.Cleanup(p.Kill)
			got, out, err := call(testContext(t), p, to, []byte("secret"))
			qt.Assert(t, err, qt.IsNil)
			if test.ok {
				qt.Assert(t, string(got), qt.Equals, "secret", qt.Commentf("%+v", out))
				return
			}
			r, ok := out.(Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, r.Refusal.Reason == wire.ReasonConnect || r.Refusal.Reason == wire.ReasonLinkLost, qt.IsTrue, qt.Commentf("%+v", r))
		})
	}
}

// Changed keys are used by the next link. If they are invalid, the old ones stay in use.
func TestKeysReload(t *testing.T) {
	ours, other := newTestCA(t), newTestCA(t)
	dir := t.TempDir()
	k := ours.issueKeys(dir, ours)
	now := time.Now()
	first, _, err := k.load(now)
	qt.Assert(t, err, qt.IsNil)

	qt.Assert(t, os.WriteFile(k.CertFile, []byte("broken"), 0o600), qt.IsNil)
	now = now.Add(keysCheckInterval)
	unchanged, _, err := k.load(now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, unchanged == first, qt.IsTrue)

	other.issueKeys(dir, other)
	cached, _, err := k.load(now.Add(keysCheckInterval / 2))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cached == first, qt.IsTrue)
	reloaded, _, err := k.load(now.Add(keysCheckInterval))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reloaded == first, qt.IsFalse)
}
