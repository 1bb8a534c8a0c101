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
	// maxRecordSize bounds the text of one sealed record, saltSize a side's part in what a connection's records are bound to.
	maxRecordSize, saltSize = 16 << 10, 16
	// handshakeTimeout is how long a new stream may take until both sides have shown that they have a key.
	handshakeTimeout = 2 * time.Second
)

var errUnauthenticated = errors.New("a record that no key opens")

// sealedConn is a connection whose records are encrypted and authenticated by the fleet's keys: AES-GCM with random nonces, as
// the membership library does it with its datagrams. A record is bound to its connection, its direction and its place, so
// that none can be played again. Any key of the ring opens; the first seals: keys are changed while connections stand.
type sealedConn struct {
	net.Conn
	ring                         *memberlist.Keyring
	sendBinding, receiveBinding  []byte // what records are bound to, with room for their number
	unread                       []byte // opened, not yet read
	writeMu                      sync.Mutex
	sentRecords, receivedRecords uint64
	writeCiphers, readCiphers    cipherCache
}

// cipherCache are those of the keys in use: making one costs more than sealing a short record.
type cipherCache map[string]cipher.AEAD

// maxCiphers bounds them, as keys change: a ring has eight at most.
const maxCiphers = 16

func (c *cipherCache) get(key []byte) (cipher.AEAD, error) {
	if a := (*c)[string(key)]; a != nil {
		return a, nil
	}
	a, err := newGCM(key)
	if err != nil {
		return nil, err
	}
	if *c == nil || len(*c) >= maxCiphers {
		*c = cipherCache{}
	}
	(*c)[string(key)] = a
	return a, nil
}

// seal makes a sealed connection, after both sides have said where they begin.
func seal(c net.Conn, ring *memberlist.Keyring, dialled bool) (*sealedConn, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	mine, theirs := make([]byte, saltSize), make([]byte, saltSize)
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
	s := &sealedConn{Conn: c, ring: ring}
	s.sendBinding = append(append(append(s.sendBinding, mine...), theirs...), make([]byte, 8)...)
	s.receiveBinding = append(append(append(s.receiveBinding, theirs...), mine...), make([]byte, 8)...)
	return s, nil
}

func newGCM(key []byte) (cipher.AEAD, error) {
	b, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(b)
}

// Write implements net.Conn.
func (s *sealedConn) Write(b []byte) (n int, err error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for len(b) > 0 {
		part := b[:min(len(b), maxRecordSize)]
		a, err := s.writeCiphers.get(s.ring.GetPrimaryKey())
		if err != nil {
			return n, err
		}
		binary.BigEndian.PutUint64(s.sendBinding[2*saltSize:], s.sentRecords)
		s.sentRecords++
		record := make([]byte, 4+a.NonceSize(), 4+a.NonceSize()+len(part)+a.Overhead())
		rand.Read(record[4:])
		record = a.Seal(record, record[4:], part, s.sendBinding)
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
func (s *sealedConn) Read(b []byte) (int, error) {
	for len(s.unread) == 0 {
		if err := s.readRecord(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *sealedConn) readRecord() error {
	var size [4]byte
	if _, err := io.ReadFull(s.Conn, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxRecordSize+64 {
		return errUnauthenticated
	}
	record := make([]byte, n)
	if _, err := io.ReadFull(s.Conn, record); err != nil {
		return err
	}
	binary.BigEndian.PutUint64(s.receiveBinding[2*saltSize:], s.receivedRecords)
	for _, key := range s.ring.GetKeys() {
		a, err := s.readCiphers.get(key)
		if err != nil || len(record) < a.NonceSize()+a.Overhead() {
			return errUnauthenticated
		}
		if text, err := a.Open(nil, record[:a.NonceSize()], record[a.NonceSize():], s.receiveBinding); err == nil {
			s.receivedRecords++
			s.unread = text
			return nil
		}
	}
	return errUnauthenticated
}
