package fescuebank

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// strictUnmarshal decodes one JSON value. It rejects unknown fields and trailing data.
func strictUnmarshal(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("want one JSON value and nothing after it")
	}
	return nil
}
