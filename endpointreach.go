package fescuebank

// DialRequest asks an instance to connect to an endpoint for another one.
type DialRequest struct {
	Addr string `cbor:"1,keyasint"`
	// Frames is set if the one that asks reads frames.
	Frames bool `cbor:"2,keyasint,omitempty"`
}

// DialReply answers a DialRequest. Unless Connected is set, the connection is closed after it.
type DialReply struct {
	Connected bool `cbor:"1,keyasint,omitempty"`
	// Refused is set if nothing listens at the address.
	Refused bool `cbor:"2,keyasint,omitempty"`
	// Frames is set if the bytes of the endpoint come in frames, the last of which states that the endpoint has ended its
	// connection. Older builds send them as they are and end the connection in the same way whatever has happened.
	Frames bool `cbor:"3,keyasint,omitempty"`
}
