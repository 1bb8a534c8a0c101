package peers

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// streamMark is the first byte of this package's own streams. Streams of the membership library begin with another byte,
	// because they have a label (clusterLabel).
	streamMark = 'M'
	// maxRecordSize bounds the plaintext of one record.
	maxRecordSize = 16 << 10
	// maxRecordOverhead bounds what encryption adds to a record.
	maxRecordOverhead = 64
	// saltSize is the length of each side's salt.
	saltSize = 16
	// handshakeTimeout is how long a new stream may take until both sides have shown that they know a key.
	handshakeTimeout = 2 * time.Second
)

var errUnauthenticated = errors.New("record cannot be decrypted with any key")

// sealedConn is a connection whose records are encrypted and authenticated with the fleet's keys: AES-GCM with random
// nonces, as in the membership library's datagrams. Each record is bound to its connection, direction and position by
// additional data (both sides' salts and the record's number), so none can be replayed. The keyring's first key encrypts and
// all of them decrypt, so keys can change while a connection is open.
type sealedConn struct {
	net.Conn
	keyring *memberlist.Keyring

	writeMu      sync.Mutex
	sendBinding  []byte // the additional data, which ends with the record's number
	sentRecords  uint64
	writeCiphers cipherCache

	receiveBinding  []byte
	receivedRecords uint64
	readCiphers     cipherCache
	unread          []byte // decrypted, but not read yet
}

// cipherCache keeps the ciphers of the keys in use, because making one costs more than encrypting a short record.
type cipherCache map[string]cipher.AEAD

// maxCiphers bounds a cipherCache while keys change. A keyring has at most eight keys.
const maxCiphers = 16

// get returns the cipher of a key, and makes it if necessary.
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

// seal exchanges salts with the other side and returns an encrypted connection.
func seal(c net.Conn, keyring *memberlist.Keyring, dialled bool) (*sealedConn, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	mine, theirs := make([]byte, saltSize), make([]byte, saltSize)
	rand.Read(mine)
	greeting := mine
	if dialled {
		greeting = append([]byte{streamMark}, mine...)
	}
	if _, err := c.Write(greeting); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(c, theirs); err != nil {
		return nil, err
	}
	number := make([]byte, 8)
	return &sealedConn{
		Conn:           c,
		keyring:        keyring,
		sendBinding:    slices.Concat(mine, theirs, number),
		receiveBinding: slices.Concat(theirs, mine, number),
	}, nil
}

// newGCM makes an AES-GCM cipher for a key.
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
		chunk := b[:min(len(b), maxRecordSize)]
		a, err := s.writeCiphers.get(s.keyring.GetPrimaryKey())
		if err != nil {
			return n, err
		}
		binary.BigEndian.PutUint64(s.sendBinding[2*saltSize:], s.sentRecords)
		s.sentRecords++
		record := make([]byte, 4+a.NonceSize(), 4+a.NonceSize()+len(chunk)+a.Overhead())
		rand.Read(record[4:])
		record = a.Seal(record, record[4:], chunk, s.sendBinding)
		binary.BigEndian.PutUint32(record, uint32(len(record)-4))
		if _, err := s.Conn.Write(record); err != nil {
			return n, err
		}
		n += len(chunk)
		b = b[len(chunk):]
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

// readRecord reads and decrypts the next record.
func (s *sealedConn) readRecord() error {
	var size [4]byte
	if _, err := io.ReadFull(s.Conn, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxRecordSize+maxRecordOverhead {
		return errUnauthenticated
	}
	record := make([]byte, n)
	if _, err := io.ReadFull(s.Conn, record); err != nil {
		return err
	}
	binary.BigEndian.PutUint64(s.receiveBinding[2*saltSize:], s.receivedRecords)
	for _, key := range s.keyring.GetKeys() {
		a, err := s.readCiphers.get(key)
		if err != nil || len(record) < a.NonceSize()+a.Overhead() {
			return errUnauthenticated
		}
		if plaintext, err := a.Open(nil, record[:a.NonceSize()], record[a.NonceSize():], s.receiveBinding); err == nil {
			s.receivedRecords++
			s.unread = plaintext
			return nil
		}
	}
	return errUnauthenticated
}
