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

const keysCheckInterval = 5 * time.Second // between checks of the files for changes

// Keys names the PEM files for mutual TLS. They are read again when they change.
type Keys struct {
	CertFile string
	KeyFile  string
	CAFile   string

	mu        sync.Mutex
	checkedAt time.Time
	fileState string // sizes and modification times of the files in use
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// tlsConfig returns the TLS configuration of one link. Both ends must present a certificate signed by the CA.
func (k *Keys) tlsConfig() (*tls.Config, error) {
	cert, roots, err := k.load(time.Now())
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*cert},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // host names change with each VM: verifyChain checks the certificate, the hello identifies the member
		VerifyPeerCertificate:  func(rawCerts [][]byte, _ [][]*x509.Certificate) error { return verifyChain(rawCerts, roots) },
		SessionTicketsDisabled: true,
	}, nil
}

// verifyChain checks that a peer's certificate is signed by one of roots.
func verifyChain(rawCerts [][]byte, roots *x509.CertPool) error {
	if len(rawCerts) == 0 {
		return problem.New(problem.Protocol, "certificate", "peer has none", "set [keys] on every daemon")
	}
	leaf, err := x509.ParseCertificate(rawCerts[0])
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, r := range rawCerts[1:] {
		if c, err := x509.ParseCertificate(r); err == nil {
			opts.Intermediates.AddCert(c)
		}
	}
	_, err = leaf.Verify(opts)
	return err
}

// load returns the certificate and CAs in use and reads the files again if they have changed. If changed files are invalid, the previous keys stay in use.
func (k *Keys) load(now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cert != nil && now.Sub(k.checkedAt) < keysCheckInterval {
		return k.cert, k.roots, nil
	}
	k.checkedAt = now
	fileState := k.statFiles()
	if k.cert != nil && fileState == k.fileState {
		return k.cert, k.roots, nil
	}
	cert, roots, err := k.readFiles()
	if err == nil {
		k.cert, k.roots, k.fileState = cert, roots, fileState
	}
	if k.cert != nil {
		return k.cert, k.roots, nil
	}
	return nil, nil, err
}

// statFiles returns the sizes and modification times of the files.
func (k *Keys) statFiles() string {
	var s string
	for _, name := range []string{k.CertFile, k.KeyFile, k.CAFile} {
		if fi, err := os.Stat(name); err == nil {
			s += fmt.Sprintf("%d %d;", fi.Size(), fi.ModTime().UnixNano())
		}
	}
	return s
}

func (k *Keys) readFiles() (*tls.Certificate, *x509.CertPool, error) {
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
		return nil, nil, problem.New(problem.Settings, k.CAFile, "no PEM certificate in file", "check keys.ca in the settings")
	}
	return &cert, roots, nil
}
