// Package certifier issues and loads the certificates that instances present to each
// other and to operators.
package certifier

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
	"os"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// validity is how long an issued certificate is valid.
	validity = 365 * 24 * time.Hour
	// backdate is how far before its creation a certificate becomes valid, so that
	// instances whose clocks are behind accept it.
	backdate = time.Hour
	// instanceName is the DNS name in every instance's certificate.
	instanceName = "instance.fescuebank"
)

// Certifier is the certificate authority of one fleet.
type Certifier struct {
	key   *ecdsa.PrivateKey
	cert  *x509.Certificate
	pem   []byte
	clock fescuebank.Clock
}

// New returns a certifier with a new key and a self-signed certificate.
func New(clock fescuebank.Clock) (*Certifier, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "certifier.New")
	}
	template := newTemplate("fescuebank authority", clock.Now())
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "certifier.New")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "certifier.New")
	}
	return &Certifier{key: key, cert: cert, pem: encodePEM("CERTIFICATE", der), clock: clock}, nil
}

// Authority returns the authority's certificate as PEM.
func (c *Certifier) Authority() []byte {
	return c.pem
}

// Issue returns a new certificate and private key of an instance as PEM. The
// certificate names the DNS name of instances and the given IP addresses.
func (c *Certifier) Issue(ips ...net.IP) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "Certifier.Issue")
	}
	template := newTemplate(instanceName, c.clock.Now())
	template.DNSNames = []string{instanceName}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &private.PublicKey, c.key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "Certifier.Issue")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, eris.Wrap(err, "Certifier.Issue")
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
}

// Load returns the TLS configuration of an instance from PEM files.
func Load(s fescuebank.TLSSettings) (*tls.Config, error) {
	authority, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, eris.Wrap(err, "certifier.Load")
	}
	pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, eris.Wrap(err, "certifier.Load")
	}
	return newConfig(authority, pair)
}

// Config returns the TLS configuration of an instance from PEM data.
func Config(authority, cert, key []byte) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, eris.Wrap(err, "certifier.Config")
	}
	return newConfig(authority, pair)
}

func newConfig(authority []byte, pair tls.Certificate) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("certifier: the CA file contains no valid PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func newTemplate(name string, now time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // rand.Reader never fails.
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
