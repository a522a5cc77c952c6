package main

import (
	"crypto/tls"
	"net/http"
)

// insecureTransport accepts any server certificate, as the tests create their own.
func insecureTransport() *http.Transport {
	return &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
}
