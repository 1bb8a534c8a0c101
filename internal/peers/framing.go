package peers

import (
	"encoding/binary"
	"fmt"
	"io"
)

// MaxMessageSize bounds one message of a stream.
const MaxMessageSize = 64 << 10

// writeText writes a short text, preceded by its length in one byte.
func writeText(w io.Writer, s string) error {
	_, err := w.Write(append([]byte{byte(len(s))}, s...))
	return err
}

// readText reads a text of at most maxLength bytes that writeText wrote.
func readText(r io.Reader, maxLength int) (string, error) {
	var n [1]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return "", err
	}
	if int(n[0]) > maxLength {
		return "", fmt.Errorf("text of %d bytes is too long", n[0])
	}
	b := make([]byte, n[0])
	_, err := io.ReadFull(r, b)
	return string(b), err
}

// WriteMessage writes one message to a stream, preceded by its length in four bytes.
func WriteMessage(w io.Writer, b []byte) error {
	if len(b) > MaxMessageSize {
		return fmt.Errorf("message of %d bytes is too long", len(b))
	}
	record := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	_, err := w.Write(append(record, b...))
	return err
}

// ReadMessage reads a message that WriteMessage wrote.
func ReadMessage(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxMessageSize {
		return nil, fmt.Errorf("message of %d bytes is too long", n)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
