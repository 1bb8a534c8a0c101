package peers

import (
	"github.com/hashicorp/go-msgpack/v2/codec"
)

// handle is the form of messages: MessagePack, as the membership library's own.
var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = 1024 // what a message claims to hold is believed as far as this
	return h
}()

// Encode gives a message's bytes.
func Encode(v any) (b []byte, err error) {
	err = codec.NewEncoderBytes(&b, handle).Encode(v)
	return b, err
}

func decode(b []byte, v any) error { return codec.NewDecoderBytes(b, handle).Decode(v) }
