package callmeta

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Names of the HTTP headers.
const (
	// HeaderRequest carries Meta on forwarded calls. A backend server sends it with
	// its downstream calls, so that they belong to the request that caused them.
	HeaderRequest = "Hawthornpoint-Request"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Hawthornpoint-Key"
	// HeaderToken carries a token issued by a daemon, see Meta.Token.
	HeaderToken = "Hawthornpoint-Token"
	// HeaderResult carries Reply.
	HeaderResult = "Hawthornpoint-Result"
	// HeaderRefused is set by a backend server that refuses a call before
	// running it, with a status that is no success. Its value is not interpreted.
	HeaderRefused = "Hawthornpoint-Refused"
	// HeaderIdempotencyKey is the common header for the caller's idempotency key.
	// It is read if HeaderKey is not set.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxHeaderLength bounds the encoded Meta or Reply that a daemon parses, in bytes.
const maxHeaderLength = 1024

// InternalHeaders returns the names of the headers that a daemon never accepts from
// callers.
func InternalHeaders() []string {
	return []string{HeaderRequest, HeaderResult, HeaderRefused}
}

// Encode writes m into h. The deadline is sent as the time remaining at now.
//
// The text is a URL query string, as url.ParseQuery reads it. It is concatenated
// here, because url.Values needs a map and a sort for each call.
func Encode(h http.Header, m Meta, now time.Time) {
	remaining := min(max(m.Deadline.Sub(now), 0), MaxRemainingTime)
	text := "request=" + m.RequestID.String() + "&call=" + m.CallID.String() +
		"&service=" + url.QueryEscape(m.Service) + "&kind=" + url.QueryEscape(m.Kind) +
		"&rank=" + strconv.Itoa(m.Rank) + "&us=" + strconv.FormatInt(remaining.Microseconds(), 10) +
		"&expires=" + strconv.FormatInt(m.Deadline.UnixMilli(), 10) + "&retries=" + strconv.Itoa(m.Retries) +
		"&depth=" + strconv.Itoa(m.Depth) + "&fingerprint=" + strconv.FormatUint(m.Fingerprint, 16) +
		optionalField("&idempotent=1", m.Idempotent) + "&from=" + url.QueryEscape(m.From)
	h.Set(HeaderRequest, text)
	setOptional(h, HeaderKey, m.Key)
	setOptional(h, HeaderToken, m.Token)
}

// optionalField returns field if set is true, else an empty string.
func optionalField(field string, set bool) string {
	if set {
		return field
	}
	return ""
}

func setOptional(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// Decode reads the metadata of a forwarded call that arrived at now. The deadline is
// now plus the remaining time. For a non-idempotent call it is at most the absolute
// expiry plus MaxClockSkew, because the call may have waited unread in the socket of
// a paused process while its sender gave up and reported the outcome as unknown.
// A malformed or repeated field, a missing ID or number, and a value outside its
// bounds are errors: a daemon refuses such a call and does not guess its values.
func Decode(h http.Header, now time.Time) (Meta, error) {
	fields, err := parseHeader(h, HeaderRequest)
	if err != nil {
		return Meta{}, err
	}
	p := fieldParser{values: fields}
	m := Meta{
		RequestID:   p.id("request"),
		CallID:      p.id("call"),
		From:        p.text("from"),
		Service:     p.text("service"),
		Kind:        p.text("kind"),
		Rank:        p.number("rank", MaxRank),
		Retries:     p.number("retries", MaxRetries),
		Depth:       p.number("depth", MaxDepth),
		Idempotent:  p.text("idempotent") == "1",
		Key:         h.Get(HeaderKey),
		Token:       h.Get(HeaderToken),
		Fingerprint: p.hexNumber("fingerprint"),
	}
	remaining := p.number("us", int(MaxRemainingTime.Microseconds()))
	m.Deadline = now.Add(time.Duration(remaining) * time.Microsecond)
	expires := time.UnixMilli(int64(p.number("expires", math.MaxInt)))
	if !m.Idempotent {
		m.Deadline = earlier(m.Deadline, expires.Add(MaxClockSkew))
	}
	if p.err != nil {
		return Meta{}, errors.Wrap(p.err, HeaderRequest)
	}
	return m, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// EncodeReply writes r into the header HeaderResult of h.
func EncodeReply(h http.Header, r Reply) {
	text := "code=" + strconv.Itoa(int(r.Code)) + "&used=" + strconv.Itoa(r.RetriesUsed) +
		"&threshold=" + strconv.Itoa(r.Threshold) + "&incarnation=" + r.Incarnation.String() +
		optionalField("&leaving=1", r.Leaving) + optionalField("&retried=1", r.RetriedBelow)
	if r.RequestID != uuid.Nil {
		text += "&request=" + r.RequestID.String()
	}
	if r.Cause != 0 {
		text += "&cause=" + strconv.Itoa(int(r.Cause))
	}
	h.Set(HeaderResult, text)
}

// DecodeReply reads the reply in h. It returns an error if there is none, as in an
// answer that does not come from a daemon, or if a field is malformed.
func DecodeReply(h http.Header) (Reply, error) {
	fields, err := parseHeader(h, HeaderResult)
	if err != nil {
		return Reply{}, err
	}
	p := fieldParser{values: fields}
	r := Reply{
		Code:         resultcode.Code(p.number("code", 999)),
		RetriesUsed:  p.number("used", MaxRetries),
		Threshold:    p.number("threshold", MaxPriority),
		Incarnation:  p.id("incarnation"),
		Leaving:      p.text("leaving") == "1",
		RetriedBelow: p.text("retried") == "1",
	}
	if fields.Has("request") {
		r.RequestID = p.id("request")
	}
	if fields.Has("cause") {
		r.Cause = resultcode.Code(p.number("cause", 999))
	}
	if p.err != nil {
		return Reply{}, errors.Wrap(p.err, HeaderResult)
	}
	if !r.Code.Valid() {
		return Reply{}, errors.Errorf("%s: code %d is not assigned", HeaderResult, r.Code)
	}
	return r, nil
}

func parseHeader(h http.Header, name string) (url.Values, error) {
	text := h.Get(name)
	if text == "" {
		return nil, errors.Errorf("%s: missing", name)
	}
	if len(text) > maxHeaderLength {
		return nil, errors.Errorf("%s: %d bytes, at most %d allowed", name, len(text), maxHeaderLength)
	}
	fields, err := url.ParseQuery(text)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return fields, nil
}

// fieldParser parses typed fields and records the first error.
type fieldParser struct {
	values url.Values
	err    error
}

// text returns a field, or an empty string if it is missing. A repeated field is an
// error, because another parser could use the other value.
func (p *fieldParser) text(name string) string {
	if len(p.values[name]) > 1 {
		p.recordError(name, errors.Errorf("given %d times", len(p.values[name])))
	}
	return p.values.Get(name)
}

func (p *fieldParser) id(name string) uuid.UUID {
	id, err := uuid.Parse(p.text(name))
	p.recordError(name, err)
	return id
}

func (p *fieldParser) number(name string, limit int) int {
	n, err := strconv.Atoi(p.text(name))
	p.recordError(name, err)
	if n < 0 || n > limit {
		p.recordError(name, errors.Errorf("%d is outside 0..%d", n, limit))
	}
	return n
}

func (p *fieldParser) hexNumber(name string) uint64 {
	n, err := strconv.ParseUint(p.text(name), 16, 64)
	p.recordError(name, err)
	return n
}

func (p *fieldParser) recordError(name string, err error) {
	if err != nil && p.err == nil {
		p.err = errors.Wrap(err, name)
	}
}
