package peers

import "github.com/hashicorp/go-msgpack/v2/codec"

// maxInitialLength bounds what is allocated for a slice or map before its elements are read, whatever length the message
// claims.
const maxInitialLength = 1024

// handle configures the encoding of messages: MessagePack, as in the membership library.
var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = maxInitialLength
	return h
}()

// Encode encodes a message.
func Encode(v any) (b []byte, err error) {
	err = codec.NewEncoderBytes(&b, handle).Encode(v)
	return b, err
}

// decode decodes a message into v, which is a pointer.
func decode(b []byte, v any) error { return codec.NewDecoderBytes(b, handle).Decode(v) }
