package exchanger

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"fescuebank"
)

// header returns the headers of a request to an endpoint.
func (x *Exchanger) header(e fescuebank.ServedEndpoint, r *fescuebank.Request, attempt Attempt) http.Header {
	h := fescuebank.ForwardedHeaders(r.Header)
	x.protocol.Encode(h, r, e, attempt.TimeLeft)
	if attempt.LastEvent != "" {
		x.protocol.Resume(h, attempt.LastEvent)
	}
	return h
}

// isToken reports whether s can be the method of a request.
func isToken(s string) bool {
	return httpguts.ValidHeaderFieldName(s) // A header's name is a token, too.
}

// isTarget reports whether s can be the target of a request: it has no spaces or control characters.
func isTarget(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// encodeHead writes the request line and the headers.
func encodeHead(r *fescuebank.Request, h http.Header) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = h.Write(&b) // Writes to a bytes.Buffer don't fail.
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readFinalHead reads the heads of informational responses, which no one waits for, and that of the response after
// them. It fails if the endpoint changes the protocol, which no request asks for, or if the status has no class.
func (c *conn) readFinalHead(method string) (*http.Response, error) {
	c.limit.N = maxHeadBytes
	defer func() { c.limit.N = math.MaxInt64 }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if fescuebank.IsFinalStatus(resp.StatusCode) {
			return resp, nil
		}
		if resp.StatusCode/100 != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("response with status %d", resp.StatusCode)
		}
	}
}
