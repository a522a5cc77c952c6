package main

import (
	"crypto/tls"
	"net/http"
)

// insecureTransport trusts the certificates that the test made.
func insecureTransport() *http.Transport {
	return &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
}
