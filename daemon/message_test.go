package daemon

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an http.Transport that sends a request a second time by itself, outside
// the retry budget, when a reused connection breaks.
func TestTransportSendsARequestOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, text := range []string{"", "batch 17"} {
			Convey(method+" with a body of "+text, t, func() {
				var arrived atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					if arrived.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
					_, _ = w.Write(body)
				}))
				defer server.Close()
				transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext}
				defer transport.CloseIdleConnections()
				send := func() (string, error) {
					req, err := http.NewRequest(method, server.URL, nil)
					So(err, ShouldBeNil)
					setBody(req, bytes.NewReader([]byte(text)), int64(len(text)))
					resp, err := transport.RoundTrip(req)
					if err != nil {
						return "", err
					}
					defer func() { _ = resp.Body.Close() }()
					body, err := io.ReadAll(resp.Body)
					return string(body), err
				}
				body, err := send()
				So(err, ShouldBeNil)
				So(body, ShouldEqual, text)
				_, err = send()
				So(err, ShouldNotBeNil)
				So(arrived.Load(), ShouldEqual, 2)
			})
		}
	}
}

// Guards against a body that is cut or padded because its declared length is relied on:
// a shorter, a longer and an absent body must be read as they are.
func TestReadPrefixDoesNotTrustTheLength(t *testing.T) {
	Convey("The bytes read do not depend on the declared length", t, func() {
		for _, length := range []int64{-1, 0, 1, 5, 100, maxExactRead, 1 << 40} {
			got, err := readPrefix(bytes.NewReader([]byte("cloth")), length, bufferSize)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, "cloth")
			got, err = readPrefix(bytes.NewReader([]byte("cloth")), length, 3)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, "clo")
		}
		got, err := readPrefix(http.NoBody, 100, bufferSize)
		So(err, ShouldBeNil)
		So(got, ShouldBeEmpty)
	})
}
