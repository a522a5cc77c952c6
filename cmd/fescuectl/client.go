package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/errorwriter"
	"fescuebank/internal/operate/administrator"
)

// connection holds addresses, credentials and the output format.
type connection struct {
	Operators string `arg:"--operators,env:FESCUEBANK_OPERATORS" placeholder:"URL" help:"operators' address of any instance"`
	User      string `arg:"--user,env:FESCUEBANK_USER" help:"operator's name"`
	Password  string `arg:"--password,env:FESCUEBANK_PASSWORD" help:"operator's password"`
	CA        string `arg:"--ca,env:FESCUEBANK_CA" placeholder:"FILE" help:"authority of the operators' addresses"`
	Insecure  bool   `arg:"--insecure" help:"do not check the operators' certificate; for trials on loopback"`
	Server    string `arg:"--server,env:FESCUEBANK_SERVER" placeholder:"URL" help:"callers' address of any instance"`
	Key       string `arg:"--key,env:FESCUEBANK_KEY" help:"caller's key"`
	Output    string `arg:"--output" default:"table" help:"table or json"`
}

// client sends requests to the operators' and callers' APIs of instances.
type client struct {
	connection
	http *http.Client
	out  io.Writer
}

// callTimeout bounds one request, upload of a batch file included.
const callTimeout = 10 * time.Minute

func newClient(c connection) (*client, error) {
	if c.Output != "table" && c.Output != "json" {
		return nil, fmt.Errorf("invalid --output %q: must be table or json", c.Output)
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: c.Insecure}
	if c.CA != "" {
		authority, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, err
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(authority) {
			return nil, fmt.Errorf("%s contains no PEM certificate", c.CA)
		}
	}
	return &client{
		connection: c,
		http:       &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig}},
		out:        os.Stdout,
	}, nil
}

// responseError is an error response of an instance.
type responseError struct {
	status  int
	message string
	faults  []fescuebank.Fault
}

func (e *responseError) Error() string {
	lines := []string{e.message}
	for _, f := range e.faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func (e *responseError) exitCode() int {
	switch e.status {
	case http.StatusUnprocessableEntity:
		return exitFaults
	case http.StatusConflict:
		return exitConflict
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return exitRefused
	}
	return exitFailed
}

// operator calls the operators' API and decodes the response into reply.
func (c *client) operator(ctx context.Context, method, path string, body, reply any) error {
	if c.Operators == "" {
		return errors.New("--operators is required")
	}
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.Operators, "/")+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.SetBasicAuth(c.User, c.Password)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return operatorError(resp)
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

func operatorError(resp *http.Response) error {
	var body administrator.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return &responseError{status: resp.StatusCode, message: "the instance responded with status " + resp.Status}
	}
	return &responseError{status: resp.StatusCode, message: body.Error, faults: body.Faults}
}

// caller calls the callers' API. The response body must be closed.
func (c *client) caller(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	if c.Server == "" || c.Key == "" {
		return nil, errors.New("--server and --key are required")
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.Server, "/")+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	var failure errorwriter.Body
	if err := json.NewDecoder(resp.Body).Decode(&failure); err != nil {
		return nil, &responseError{status: resp.StatusCode, message: "the instance responded with status " + resp.Status}
	}
	message := fmt.Sprintf("%s (%s, %s)", failure.Error.Message, failure.Error.Code, failure.Error.RunState)
	return nil, &responseError{status: resp.StatusCode, message: message}
}

// callerJSON calls the callers' API and decodes the response into reply.
func (c *client) callerJSON(ctx context.Context, method, path string, header http.Header, body, reply any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	resp, err := c.caller(ctx, method, path, header, reader)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(reply)
}

// print writes value as JSON or, with --output table, the rows that rows writes.
func (c *client) print(value any, rows func(w io.Writer)) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	const padding = 2
	table := tabwriter.NewWriter(c.out, 0, 0, padding, ' ', 0)
	rows(table)
	return table.Flush()
}

func decodeJSON(r io.Reader, into any) error {
	return json.NewDecoder(r).Decode(into)
}
