package link

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

const keysCheckEvery = 5 * time.Second

// Keys names the PEM files for mutual TLS; they are read again when they change.
type Keys struct {
	CertFile string
	KeyFile  string
	CAFile   string

	mu      sync.Mutex
	checked time.Time
	stamp   string // sizes and times of the files in use
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// config returns the TLS settings of one link; both ends must hold a certificate that the CA has signed.
func (k *Keys) config() (*tls.Config, error) {
	cert, roots, err := k.load(time.Now())
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*cert},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // names change with each VM: the chain is checked below, the member by its hello
		VerifyPeerCertificate:  func(raw [][]byte, _ [][]*x509.Certificate) error { return verify(raw, roots) },
		SessionTicketsDisabled: true,
	}, nil
}

func verify(raw [][]byte, roots *x509.CertPool) error {
	if len(raw) == 0 {
		return problem.New(problem.Protocol, "certificate", "other end has none", "set [keys] on every daemon")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, r := range raw[1:] {
		if c, err := x509.ParseCertificate(r); err == nil {
			opts.Intermediates.AddCert(c)
		}
	}
	_, err = leaf.Verify(opts)
	return err
}

// load returns the keys in use, reading the files again when they have changed; a fault in changed files keeps the old keys.
func (k *Keys) load(now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cert != nil && now.Sub(k.checked) < keysCheckEvery {
		return k.cert, k.roots, nil
	}
	k.checked = now
	stamp := k.stampOf()
	if k.cert != nil && stamp == k.stamp {
		return k.cert, k.roots, nil
	}
	cert, roots, err := k.read()
	if err == nil {
		k.cert, k.roots, k.stamp = cert, roots, stamp
	}
	if k.cert != nil {
		return k.cert, k.roots, nil
	}
	return nil, nil, err
}

func (k *Keys) stampOf() string {
	var s string
	for _, name := range []string{k.CertFile, k.KeyFile, k.CAFile} {
		if fi, err := os.Stat(name); err == nil {
			s += fmt.Sprintf("%d %d;", fi.Size(), fi.ModTime().UnixNano())
		}
	}
	return s
}

func (k *Keys) read() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return nil, nil, problem.Wrap(problem.Settings, err, k.CertFile, "certificate and key cannot be read", "check keys.cert and keys.key in the settings")
	}
	pem, err := os.ReadFile(k.CAFile)
	if err != nil {
		return nil, nil, problem.Wrap(problem.Settings, err, k.CAFile, "CA cannot be read", "check keys.ca in the settings")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, problem.New(problem.Settings, k.CAFile, "holds no certificate in PEM form", "check keys.ca in the settings")
	}
	return &cert, roots, nil
}
