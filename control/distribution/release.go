// Package distribution decides how versions of a fleet's configuration reach its instances: which version an instance
// runs, when its zone's turn has come, when a version is halted and everybody goes back to the last good one, and how old
// what an instance knows is.
//
// A Release is signed by the operators and is the only thing that can change an instance. A few servers keep the newest
// release and the last good one, and follow each other (Replica); each instance follows one server at a time (Follower). No
// server is needed for a call: an instance that hears nothing keeps what it runs and tells how old that is.
//
// The package is pure: it is told the time and what was heard, and says what to do.
package distribution

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// The bounds of a release.
const (
	MaxContent    = 256 << 10 // bytes
	MaxStages     = 16
	MaxZones      = 64 // of one stage
	MaxStageDelay = time.Hour
	MaxNameLength = 64
)

// signedPrefix keeps a signature of a release from being one of anything else.
const (
	releasePrefix = "masthill release\x00"
	haltPrefix    = "masthill halt\x00"
)

// Version numbers the releases of a fleet, from 1 on.
type Version uint64

// Stage is a part of the fleet, and how long after its publication it takes a release.
type Stage struct {
	Zones []string      `json:"zones,omitempty"` // empty: all zones that no other stage names
	After time.Duration `json:"after_ns"`
}

// Release is one version of a fleet's configuration.
type Release struct {
	Fleet     string  `json:"fleet"`
	Version   Version `json:"version"`
	Stages    []Stage `json:"stages"`
	Content   []byte  `json:"content"` // settings, as TOML
	Signature []byte  `json:"signature,omitempty"`
}

// Digest tells two releases of one version apart.
type Digest [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return errors.New("no digest")
	}
	copy(d[:], b)
	return nil
}

// The reasons for which a release is refused.
var (
	ErrUnsigned    = errors.New("no known key has signed it")
	ErrOutOfBounds = errors.New("out of bounds")
	ErrWrongFleet  = errors.New("made for another fleet")
)

// signed is what a signature covers: everything but itself.
func (r Release) signed() []byte {
	r.Signature = nil
	text, _ := json.Marshal(r) // strings, numbers and bytes: it cannot fail
	return append([]byte(releasePrefix), text...)
}

// Digest is that of all that is signed.
func (r Release) Digest() Digest { return sha256.Sum256(r.signed()) }

// Sign signs the release.
func (r *Release) Sign(key ed25519.PrivateKey) { r.Signature = ed25519.Sign(key, r.signed()) }

// Verify checks the release's bounds, its fleet, and that one of the keys has signed it.
func (r Release) Verify(fleet string, keys []ed25519.PublicKey) error {
	if err := r.checkBounds(); err != nil {
		return err
	}
	if r.Fleet != fleet {
		return fmt.Errorf("%w: %q", ErrWrongFleet, r.Fleet)
	}
	return verifySignature(r.signed(), r.Signature, keys)
}

func verifySignature(signed, signature []byte, keys []ed25519.PublicKey) error {
	for _, key := range keys {
		if ed25519.Verify(key, signed, signature) {
			return nil
		}
	}
	return ErrUnsigned
}

func (r Release) checkBounds() error {
	switch {
	case r.Version == 0:
		return fmt.Errorf("%w: version 0", ErrOutOfBounds)
	case len(r.Content) > MaxContent:
		return fmt.Errorf("%w: content of %d bytes, %d at most", ErrOutOfBounds, len(r.Content), MaxContent)
	case len(r.Stages) == 0 || len(r.Stages) > MaxStages:
		return fmt.Errorf("%w: %d stages, 1 to %d", ErrOutOfBounds, len(r.Stages), MaxStages)
	}
	rest := 0
	for _, s := range r.Stages {
		if s.After < 0 || s.After > MaxStageDelay || len(s.Zones) > MaxZones {
			return fmt.Errorf("%w: stage after %v with %d zones", ErrOutOfBounds, s.After, len(s.Zones))
		}
		if len(s.Zones) == 0 {
			rest++
		}
	}
	if rest != 1 {
		return fmt.Errorf("%w: %d stages for all other zones, exactly 1", ErrOutOfBounds, rest)
	}
	return nil
}

// delay is how long after its publication a zone takes the release.
func (r Release) stageDelay(zone string) time.Duration {
	rest := time.Duration(0)
	for _, s := range r.Stages {
		if slices.Contains(s.Zones, zone) {
			return s.After
		}
		if len(s.Zones) == 0 {
			rest = s.After
		}
	}
	return rest
}

// Length is how long after its publication the last zone takes the release.
func (r Release) RolloutDuration() time.Duration {
	longest := time.Duration(0)
	for _, s := range r.Stages {
		longest = max(longest, s.After)
	}
	return longest
}

// HaltOrder is an operator's word that a version is to be given up.
type HaltOrder struct {
	Fleet     string  `json:"fleet"`
	Version   Version `json:"version"`
	Reason    string  `json:"reason"`
	Signature []byte  `json:"signature,omitempty"`
}

func (h HaltOrder) signed() []byte {
	h.Signature = nil
	text, _ := json.Marshal(h)
	return append([]byte(haltPrefix), text...)
}

// Sign signs the order.
func (h *HaltOrder) Sign(key ed25519.PrivateKey) { h.Signature = ed25519.Sign(key, h.signed()) }

// Verify checks that the order is for a fleet and that one of the keys has signed it.
func (h HaltOrder) Verify(fleet string, keys []ed25519.PublicKey) error {
	if h.Fleet != fleet {
		return fmt.Errorf("%w: %q", ErrWrongFleet, h.Fleet)
	}
	return verifySignature(h.signed(), h.Signature, keys)
}
