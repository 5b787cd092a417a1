package idempotency

import (
	"encoding/asn1"
	"encoding/base64"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	// MaxTokenLength bounds the text form of a token, in bytes. Two names of
	// MaxNameLength and the fields of fixed size fit.
	MaxTokenLength = 512
	// MaxNameLength bounds the service and upstream names in a token, in bytes.
	MaxNameLength = 128

	tokenVersion = 1
	// maxIssuedMS is the latest time of issue, in Unix milliseconds. It is the
	// maximum of a version 7 UUID, so that keys and tokens have the same range.
	maxIssuedMS = 1<<48 - 1
)

// Token names the only process that may run a request. It is not signed: a caller
// who changes a token has made a token of another request.
type Token struct {
	// Service and Upstream name the service and the upstream that run the request.
	Service, Upstream string
	// Incarnation is the process of the upstream that keeps the record.
	Incarnation uuid.UUID
	// Nonce distinguishes the requests of one incarnation.
	Nonce uuid.UUID
	// Issued is the time of issue, with a resolution of one millisecond.
	Issued time.Time
}

// asn1Token is the ASN.1 form of a Token.
type asn1Token struct {
	Version     int
	Service     string `asn1:"utf8"`
	Upstream    string `asn1:"utf8"`
	Incarnation []byte
	Nonce       []byte
	Issued      int64
}

// NewToken returns the text form of t: its DER encoding in base64url without
// padding. It fails if a name is empty, too long or not UTF-8, or the time is out
// of range.
func NewToken(t Token) (string, error) {
	if err := t.check(); err != nil {
		return "", errors.Wrap(err, "token")
	}
	data, err := asn1.Marshal(asn1Token{
		Version:     tokenVersion,
		Service:     t.Service,
		Upstream:    t.Upstream,
		Incarnation: t.Incarnation[:],
		Nonce:       t.Nonce[:],
		Issued:      t.Issued.UnixMilli(),
	})
	if err != nil {
		return "", errors.Wrap(err, "token")
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// ParseToken parses the text form of a token. It accepts only the text that
// NewToken returns, so that each token has exactly one text form.
func ParseToken(text string) (Token, error) {
	t, err := decodeToken(text)
	if err != nil {
		return Token{}, errors.Wrap(err, "token")
	}
	canonical, err := NewToken(t)
	if err != nil {
		return Token{}, err
	}
	if canonical != text {
		return Token{}, errors.New("token: not in canonical form")
	}
	return t, nil
}

func decodeToken(text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, errors.Errorf("%d bytes, at most %d allowed", len(text), MaxTokenLength)
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, err
	}
	var decoded asn1Token
	rest, err := asn1.Unmarshal(data, &decoded)
	if err != nil {
		return Token{}, err
	}
	if len(rest) > 0 || decoded.Version != tokenVersion {
		return Token{}, errors.Errorf("unsupported version %d or %d trailing bytes", decoded.Version, len(rest))
	}
	t := Token{Service: decoded.Service, Upstream: decoded.Upstream, Issued: time.UnixMilli(decoded.Issued)}
	if t.Incarnation, err = uuid.FromBytes(decoded.Incarnation); err != nil {
		return Token{}, errors.Wrap(err, "incarnation")
	}
	if t.Nonce, err = uuid.FromBytes(decoded.Nonce); err != nil {
		return Token{}, errors.Wrap(err, "nonce")
	}
	return t, nil
}

func (t Token) check() error {
	for _, name := range []string{t.Service, t.Upstream} {
		if len(name) == 0 || len(name) > MaxNameLength || !utf8.ValidString(name) {
			return errors.Errorf("name of %d bytes is not UTF-8 text of 1..%d bytes", len(name), MaxNameLength)
		}
	}
	if ms := t.Issued.UnixMilli(); ms < 0 || ms > maxIssuedMS {
		return errors.Errorf("issue time %d ms is out of range", ms)
	}
	return nil
}
