package callws

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

// errTooLong is the error of a message that exceeds maxMessage in every form.
var errTooLong = errors.New("message over 16 KiB")

// message is a message to a peer. Its description may be sent as text or as base64.
type message interface {
	// inBase64 returns the message with its description as base64.
	inBase64() message
}

// encode returns the JSON form of a message, at most maxMessage bytes long. The description is text if it is valid UTF-8,
// and base64 if that is not so or if the message would be too long otherwise, as JSON writes a control character as six
// bytes. Markup is not escaped, which only matters within HTML.
func encode(m message) ([]byte, error) {
	b, err := encodeJSON(m)
	if err == nil && len(b) > maxMessage {
		b, err = encodeJSON(m.inBase64())
	}
	if err == nil && len(b) > maxMessage {
		err = errTooLong
	}
	return b, err
}

func encodeJSON(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(v)
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), err
}

// description is the JSON form of a call's description: text, or base64 if it is not valid UTF-8.
type description struct {
	Text  string `json:"description,omitempty"`
	Bytes []byte `json:"description_base64,omitempty"`
}

func describe(b []byte) description {
	if utf8.Valid(b) {
		return description{Text: string(b)}
	}
	return description{Bytes: b}
}

func (d description) raw() []byte {
	if len(d.Bytes) > 0 {
		return d.Bytes
	}
	return []byte(d.Text)
}

func (d description) inBase64() description { return description{Bytes: d.raw()} }
