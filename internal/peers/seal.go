package peers

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// streamMark is the first byte of a stream of this package's own. Those of the membership library begin with its label's
	// mark, as this package always sets a label.
	streamMark = 'M'
	// sealMost bounds the text of one sealed record, saltLen a side's part in what a connection's records are bound to.
	sealMost, saltLen = 16 << 10, 16
	// greetFor is how long a new stream may take until both sides have shown that they have a key.
	greetFor = 2 * time.Second
)

var errSeal = errors.New("a record that no key opens")

// sealed is a connection whose records are encrypted and authenticated by the fleet's keys: AES-GCM with random nonces, as
// the membership library does it with its datagrams. A record is bound to its connection, its direction and its place, so
// that none can be played again. Any key of the ring opens; the first seals: keys are changed while connections stand.
type sealed struct {
	net.Conn
	ring        *memberlist.Keyring
	out, in     []byte // what records are bound to, with room for their number
	rest        []byte // opened, not yet read
	wmu         sync.Mutex
	sent, taken uint64
	write, read ciphers
}

// ciphers are those of the keys in use: making one costs more than sealing a short record.
type ciphers map[string]cipher.AEAD

// ciphersMost bounds them, as keys change: a ring has eight at most.
const ciphersMost = 16

func (c *ciphers) of(key []byte) (cipher.AEAD, error) {
	if a := (*c)[string(key)]; a != nil {
		return a, nil
	}
	a, err := gcm(key)
	if err != nil {
		return nil, err
	}
	if *c == nil || len(*c) >= ciphersMost {
		*c = ciphers{}
	}
	(*c)[string(key)] = a
	return a, nil
}

// seal makes a sealed connection, after both sides have said where they begin.
func seal(c net.Conn, ring *memberlist.Keyring, dialled bool) (*sealed, error) {
	c.SetDeadline(time.Now().Add(greetFor))
	defer c.SetDeadline(time.Time{})
	mine, theirs := make([]byte, saltLen), make([]byte, saltLen)
	rand.Read(mine)
	hello := mine
	if dialled {
		hello = append([]byte{streamMark}, mine...)
	}
	if _, err := c.Write(hello); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(c, theirs); err != nil {
		return nil, err
	}
	s := &sealed{Conn: c, ring: ring}
	s.out = append(append(append(s.out, mine...), theirs...), make([]byte, 8)...)
	s.in = append(append(append(s.in, theirs...), mine...), make([]byte, 8)...)
	return s, nil
}

func gcm(key []byte) (cipher.AEAD, error) {
	b, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(b)
}

// Write implements net.Conn.
func (s *sealed) Write(b []byte) (n int, err error) {
	s.wmu.Lock()
	defer s.wmu.Unlock()
	for len(b) > 0 {
		part := b[:min(len(b), sealMost)]
		a, err := s.write.of(s.ring.GetPrimaryKey())
		if err != nil {
			return n, err
		}
		binary.BigEndian.PutUint64(s.out[2*saltLen:], s.sent)
		s.sent++
		record := make([]byte, 4+a.NonceSize(), 4+a.NonceSize()+len(part)+a.Overhead())
		rand.Read(record[4:])
		record = a.Seal(record, record[4:], part, s.out)
		binary.BigEndian.PutUint32(record, uint32(len(record)-4))
		if _, err := s.Conn.Write(record); err != nil {
			return n, err
		}
		n += len(part)
		b = b[len(part):]
	}
	return n, nil
}

// Read implements net.Conn.
func (s *sealed) Read(b []byte) (int, error) {
	for len(s.rest) == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *sealed) next() error {
	var size [4]byte
	if _, err := io.ReadFull(s.Conn, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > sealMost+64 {
		return errSeal
	}
	record := make([]byte, n)
	if _, err := io.ReadFull(s.Conn, record); err != nil {
		return err
	}
	binary.BigEndian.PutUint64(s.in[2*saltLen:], s.taken)
	for _, key := range s.ring.GetKeys() {
		a, err := s.read.of(key)
		if err != nil || len(record) < a.NonceSize()+a.Overhead() {
			return errSeal
		}
		if text, err := a.Open(nil, record[:a.NonceSize()], record[a.NonceSize():], s.in); err == nil {
			s.taken++
			s.rest = text
			return nil
		}
	}
	return errSeal
}
