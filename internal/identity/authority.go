package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
)

// clockSkew is how far back a new certificate is valid, for machines whose
// clocks are behind.
const clockSkew = 5 * time.Minute

// serialBits is the length of a certificate's random serial number.
const serialBits = 127

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of one mesh. It serves trials and small
// sites; a larger one uses its own authority and only the URI form.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
	pair        Pair
}

// NewAuthority makes a root that is valid from now for the given time.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err, "making the root's key")
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority reads a root made before.
func LoadAuthority(pair Pair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, trace.Wrap(err, "reading the root")
	}
	certificate, err := x509.ParseCertificate(loaded.Certificate[0])
	if err != nil {
		return nil, trace.Wrap(err, "reading the root's certificate")
	}
	if !certificate.IsCA {
		return nil, trace.BadParameter("certificate %q is no root: it may sign no other", certificate.Subject.CommonName)
	}
	signer, canSign := loaded.PrivateKey.(crypto.Signer)
	if !canSign {
		return nil, trace.BadParameter("the root's key cannot sign")
	}
	return &Authority{certificate: certificate, key: signer, pair: pair}, nil
}

// Pair returns the root's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue makes a certificate for an identity, valid from now for the given
// time and never beyond the root.
func (a *Authority) Issue(subject Identity, now time.Time, validity time.Duration) (Pair, error) {
	if err := subject.Check(); err != nil {
		return Pair{}, trace.Wrap(err, "issuing a certificate")
	}
	template, err := newTemplate(subject.Name(), now, validity)
	if err != nil {
		return Pair{}, err
	}
	if template.NotAfter.After(a.certificate.NotAfter) {
		template.NotAfter = a.certificate.NotAfter
	}
	template.URIs = []*url.URL{subject.uri()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if subject.Role != RoleOperator {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, trace.Wrap(err, "making a key")
	}
	return sign(template, a.certificate, key, a.key)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	if validity <= 0 {
		return nil, trace.BadParameter("validity: %s must be above zero", validity)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err, "choosing a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey crypto.Signer) (Pair, error) {
	signed, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return Pair{}, trace.Wrap(err, "signing certificate %q", template.Subject.CommonName)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, trace.Wrap(err, "encoding a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: signed}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: encodedKey}),
	}, nil
}
