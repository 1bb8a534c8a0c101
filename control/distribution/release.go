// Package distribution decides how configuration releases reach the instances of a fleet: which version an instance runs,
// when the rollout stage of its zone is due, when a version is halted and all instances return to the last good one, and how
// old an instance's knowledge is.
//
// A Release is signed by the operators; nothing else can change an instance's configuration. A few servers store the newest
// and the last good release and replicate them among each other (Replica); each instance follows one server at a time
// (Follower). Calls do not depend on any server: an instance that receives nothing keeps running what it runs, and reports
// how old its knowledge is.
//
// The package is pure: callers pass in the time and what was received, and carry out the decisions it returns.
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

// Limits of a release.
const (
	MaxContent    = 256 << 10 // bytes
	MaxStages     = 16
	MaxZones      = 64 // in one stage
	MaxStageDelay = time.Hour
	MaxNameLength = 64
)

// The prefixes of the signed data. They prevent a signature of one kind of message from being valid for another kind.
const (
	releasePrefix = "masthill release\x00"
	haltPrefix    = "masthill halt\x00"
)

// Version numbers the releases of a fleet, starting at 1.
type Version uint64

// Stage is a set of zones, and how long after its publication they apply a release.
type Stage struct {
	Zones []string      `json:"zones,omitempty"` // empty: all zones that no other stage lists
	After time.Duration `json:"after_ns"`
}

// Release is one version of a fleet's configuration.
type Release struct {
	Fleet     string  `json:"fleet"`
	Version   Version `json:"version"`
	Stages    []Stage `json:"stages"`
	Content   []byte  `json:"content"` // the settings in TOML
	Signature []byte  `json:"signature,omitempty"`
}

// Digest is the hash of the signed part of a release. It distinguishes different releases of one version.
type Digest [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return errors.New("invalid digest")
	}
	copy(d[:], b)
	return nil
}

// The errors with which a release is refused.
var (
	ErrUnsigned    = errors.New("not signed by a known key")
	ErrOutOfBounds = errors.New("out of bounds")
	ErrWrongFleet  = errors.New("made for another fleet")
)

// signed returns what the signature covers: the whole release but the signature.
func (r Release) signed() []byte {
	r.Signature = nil
	text, _ := json.Marshal(r) // cannot fail: there are only strings, numbers and bytes
	return append([]byte(releasePrefix), text...)
}

// Digest returns the digest of the signed part of the release.
func (r Release) Digest() Digest { return sha256.Sum256(r.signed()) }

// Sign sets the release's signature.
func (r *Release) Sign(key ed25519.PrivateKey) { r.Signature = ed25519.Sign(key, r.signed()) }

// Verify checks the limits of the release, its fleet, and that one of the keys has signed it.
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
		return fmt.Errorf("%w: %d stages, 1 to %d are allowed", ErrOutOfBounds, len(r.Stages), MaxStages)
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
		return fmt.Errorf("%w: %d stages without zones, exactly 1 is required", ErrOutOfBounds, rest)
	}
	return nil
}

// stageDelay is how long after its publication a zone applies the release.
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

// RolloutDuration is how long after its publication the last stage applies the release.
func (r Release) RolloutDuration() time.Duration {
	longest := time.Duration(0)
	for _, s := range r.Stages {
		longest = max(longest, s.After)
	}
	return longest
}

// HaltOrder is an operator's order to halt the rollout of a version and to return to the last good one.
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

// Sign sets the order's signature.
func (h *HaltOrder) Sign(key ed25519.PrivateKey) { h.Signature = ed25519.Sign(key, h.signed()) }

// Verify checks that the order is for the fleet and that one of the keys has signed it.
func (h HaltOrder) Verify(fleet string, keys []ed25519.PublicKey) error {
	if h.Fleet != fleet {
		return fmt.Errorf("%w: %q", ErrWrongFleet, h.Fleet)
	}
	return verifySignature(h.signed(), h.Signature, keys)
}
