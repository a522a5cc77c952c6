package exchanger

import (
	"net/http"

	"fescuebank"
)

// Framing is how a response shows where its body ends.
type Framing string

// Framings of responses.
const (
	// FramedByLength means that the head states the length of the body, or that there is none.
	FramedByLength Framing = "length"
	// FramedByChunks means that the body comes in chunks, the last of which is empty.
	FramedByChunks Framing = "chunks"
	// FramedByConnection means that the body ends with the connection.
	FramedByConnection Framing = "connection"
)

// Framing returns how the response shows where its body ends.
func (r *Response) Framing() Framing {
	switch {
	case r.ContentLength >= 0, r.Body == http.NoBody:
		return FramedByLength
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByConnection
}

// IsCloseDelimited reports whether only the end of the connection shows the end of the body.
func (r *Response) IsCloseDelimited() bool {
	return r.Framing() == FramedByConnection
}

// Through returns the instance through which the connection to the endpoint goes, empty for none.
func (r *Response) Through() fescuebank.InstanceID {
	if c, ok := r.conn.Conn.(interface {
		Through() fescuebank.InstanceID
	}); ok {
		return c.Through()
	}
	return ""
}
