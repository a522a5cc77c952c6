package fescuebank

import "net/http"

// maxStatusCode is the last status code that has a class (RFC 9110, section 15).
const maxStatusCode = 599

// IsFinalStatus reports whether a status code can be that of a response to a request: it has a class, and is not an informational
// one. An endpoint that sends any other, or changes the protocol, has not answered.
func IsFinalStatus(code int) bool {
	return code >= http.StatusOK && code <= maxStatusCode
}
