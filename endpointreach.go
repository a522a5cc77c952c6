package fescuebank

// DialRequest asks an instance to connect to an endpoint for another one.
type DialRequest struct {
	Addr string `cbor:"1,keyasint"`
}

// DialReply answers a DialRequest. Unless Connected is set, the connection is closed after it.
type DialReply struct {
	Connected bool `cbor:"1,keyasint,omitempty"`
	// Refused is set if nothing listens at the address.
	Refused bool `cbor:"2,keyasint,omitempty"`
}
