package cmd

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
)

const (
	secretPerm = 0o600
	keyBytes   = 32
	certTTL    = 90 * 24 * time.Hour
	// certClockSkew is how far NotBefore lies in the past, so that a peer
	// whose clock is slow accepts a new certificate.
	certClockSkew = time.Hour
)

func newKey() *cobra.Command {
	return &cobra.Command{
		Use: "key FILE", Short: "Write a new random key file", Args: cobra.ExactArgs(1),
		Example: "  balsampier key operator.key\n  balsampier key peer.key",
		RunE: func(_ *cobra.Command, args []string) error {
			b := make([]byte, keyBytes)
			if _, err := rand.Read(b); err != nil {
				return err
			}
			return createFile(args[0], []byte(hex.EncodeToString(b)+"\n"))
		},
	}
}

func newCert() *cobra.Command {
	var hosts []string
	c := &cobra.Command{
		Use: "cert CERT KEY", Short: "Write a self-signed certificate and its key for testing", Args: cobra.ExactArgs(2),
		Example: "  balsampier cert cert.pem key.pem --host 127.0.0.1 --host localhost",
		RunE: func(_ *cobra.Command, args []string) error {
			cert, key, err := newCertPair(hosts, clock.System{}.Now())
			if err != nil {
				return err
			}
			if err := createFile(args[1], key); err != nil {
				return err
			}
			if err := createFile(args[0], cert); err != nil {
				return errors.Join(err, os.Remove(args[1]))
			}
			return nil
		},
	}
	c.Flags().StringSliceVar(&hosts, "host", []string{"localhost", "127.0.0.1"}, "names and addresses in the certificate")
	return c
}

// newCertPair returns a self-signed certificate for hosts, valid from about t,
// and its key, both as PEM.
func newCertPair(hosts []string, t time.Time) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, nil, err
	}
	m := &x509.Certificate{
		SerialNumber: n, Subject: pkix.Name{CommonName: "balsampier trial"},
		NotBefore: t.Add(-certClockSkew), NotAfter: t.Add(certTTL),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, h := range hosts {
		if a, err := netip.ParseAddr(h); err == nil {
			m.IPAddresses = append(m.IPAddresses, net.IP(a.AsSlice())) //nolint:forbidigo // x509.Certificate requires net.IP
		} else {
			m.DNSNames = append(m.DNSNames, h)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, m, m, &k.PublicKey, k)
	if err != nil {
		return nil, nil, err
	}
	kb, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: kb}), nil
}

// createFile writes a file that only its owner can read. It returns an error if
// the file exists.
func createFile(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretPerm)
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "write "+path, "name a new file in a folder that can be written", err)
	}
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Close()
}
