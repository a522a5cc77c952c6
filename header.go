package fescuebank

import (
	"maps"
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not relayed.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns the headers that are relayed, under their canonical names.
func EndToEndHeaders(h http.Header) http.Header {
	endToEnd := make(http.Header, len(h)+4)
	for name, values := range h {
		name = http.CanonicalHeaderKey(name)
		endToEnd[name] = append(endToEnd[name], values...)
	}
	for _, list := range endToEnd["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(endToEnd, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(endToEnd, name)
	}
	return endToEnd
}

// callerHeaders are those headers of a request that are for this system, or that it sets anew for the
// request to the endpoint: the credentials, the host and the length of the body.
var callerHeaders = []string{"Authorization", "Host", "Content-Length"}

// ForwardedHeaders returns those headers of a caller's request, online or an item of a batch job, that may be
// sent to an endpoint.
func ForwardedHeaders(h http.Header) http.Header {
	forwarded := EndToEndHeaders(h)
	maps.DeleteFunc(forwarded, func(name string, _ []string) bool { return slices.Contains(callerHeaders, name) })
	return forwarded
}
