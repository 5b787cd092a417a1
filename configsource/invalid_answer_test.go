package configsource

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an invalid answer of the configuration service, or with the VM list, that is used.
func TestInvalidAnswer(t *testing.T) {
	text := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.(*net.TCPConn).Close() }()
		_, _ = io.WriteString(c, text)
	}))
	defer server.Close()
	list, configs := NewHTTPVMList(server.URL, nil, 0), NewHTTPConfigSource(server.URL, nil, 0)
	read := func(head, listBody, configBody string) []error {
		text = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(listBody), listBody)
		_, listErr := list.Fetch(t.Context())
		text = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(configBody), configBody)
		_, _, configErr := configs.Fetch(t.Context(), 0)
		return []error{listErr, configErr}
	}
	const listBody, configBody = `[{"name": "v", "state": "live"}]`, `{"version": 1}`
	Convey("A sound answer is read", t, func() {
		So(read("HTTP/1.1 200 OK\r\nX-!Own: 1\r\n", listBody, configBody), ShouldResemble, []error{nil, nil})
	})
	for name, head := range map[string]string{
		"a blank in a name":                      "HTTP/1.1 200 OK\r\nETag : \"1\"\r\n",
		"a blank in a name of an interim answer": "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
		"status 000":                             "HTTP/1.1 000 Odd\r\n",
	} {
		Convey("A read fails with "+name, t, func() {
			for _, err := range read(head, listBody, configBody) {
				So(err, ShouldNotBeNil)
			}
		})
	}
}
