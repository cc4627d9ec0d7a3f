package vm

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// reloadEvery is how often the key files are looked at.
const reloadEvery = time.Second

// secrets holds what the key files say. A changed file is taken over without a
// stop; one that can't be read leaves the last good state.
type secrets struct {
	local *settings.Local
	clock persimmoncross.Clock
	log   zerolog.Logger

	keys        atomic.Pointer[map[string]string]
	certificate atomic.Pointer[tls.Certificate]
	authority   atomic.Pointer[x509.CertPool]
}

func (s *secrets) load() error {
	if err := s.loadOperators(); err != nil {
		return failure("start", Start, err, "operators' keys")
	}
	if s.local.TLS == nil {
		return nil
	}
	if err := s.loadTLS(); err != nil {
		return failure("start", Start, err, "TLS key files")
	}
	return nil
}

func (s *secrets) loadOperators() error {
	keys := map[string]string{}
	if s.local.Operators != "" {
		data, err := os.ReadFile(s.local.Operators)
		if err != nil {
			return err
		}
		if keys, err = parseOperators(data); err != nil {
			return err
		}
	}
	s.keys.Store(&keys)
	return nil
}

// parseOperators reads lines of a name and a key's hash; # begins a comment.
func parseOperators(data []byte) (map[string]string, error) {
	keys := map[string]string{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		text, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(text)
		switch {
		case len(fields) == 0:
		case len(fields) != 2 || !strings.HasPrefix(fields[1], "sha256:"):
			return nil, errors.New("want lines of an operator's name and sha256:HASH")
		default:
			keys[fields[1]] = fields[0]
		}
	}
	if len(keys) == 0 {
		return nil, errors.New("no operator is named") // perhaps the file is just being written
	}
	return keys, lines.Err()
}

func (s *secrets) loadTLS() error {
	pair, err := tls.LoadX509KeyPair(s.local.TLS.Certificate, s.local.TLS.Key)
	if err != nil {
		return err
	}
	authority, err := os.ReadFile(s.local.TLS.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New(s.local.TLS.Authority + " holds no certificate")
	}
	s.certificate.Store(&pair)
	s.authority.Store(pool)
	return nil
}

func (s *secrets) operators() map[string]string { return *s.keys.Load() }

// tlsConfig returns a configuration for both ends of a peer connection. Each
// handshake uses the key files of the moment. The peer's certificate must be
// the authority's; its name is not compared, for VMs are reached by number.
func (s *secrets) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // replaced by verify
		VerifyPeerCertificate: s.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate.Load(), nil },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate.Load(), nil },
	}
}

func (s *secrets) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return errors.New("vm: the peer showed no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         s.authority.Load(),
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return err
	}
	for _, r := range raw[1:] {
		c, err := x509.ParseCertificate(r)
		if err != nil {
			return err
		}
		options.Intermediates.AddCert(c)
	}
	_, err = leaf.Verify(options)
	return err
}

func (s *secrets) watch(ctx context.Context) {
	known := s.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(reloadEvery):
		}
		if now := s.changed(); now != known {
			known = now
			if err := s.load(); err != nil {
				s.log.Error().Err(err).Msg("key files not taken over")
				continue
			}
			s.log.Info().Msg("key files taken over")
		}
	}
}

// changed returns the latest time at which one of the files was changed.
func (s *secrets) changed() time.Time {
	var latest time.Time
	files := []string{s.local.Operators}
	if s.local.TLS != nil {
		files = append(files, s.local.TLS.Certificate, s.local.TLS.Key, s.local.TLS.Authority)
	}
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
