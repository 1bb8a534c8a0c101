package distribution

import "time"

// Head is what a server tells of its newest release. It carries no signature: it can make an instance wait or go back to
// the last good release, but never run anything that the operators have not signed.
type Head struct {
	Server   string        `json:"server"`
	Version  Version       `json:"version"` // the newest release; 0: there is none
	Digest   Digest        `json:"digest"`
	LastGood Version       `json:"good"`       // the newest one before it that was not halted; 0: there is none
	Elapsed  time.Duration `json:"elapsed_ns"` // since the newest one was published
	Halted   string        `json:"halted,omitempty"`
	// Failures is how many instances have told this server that they could not apply the newest release.
	Failures int `json:"failures,omitempty"`
	// Lag is how long ago the server last was in touch with a majority of the servers, itself included.
	Lag time.Duration `json:"lag_ns"`
}

// State is what an instance has made of the newest release that it knows.
type State string

// The states.
const (
	Waiting    State = "waiting"     // its zone's turn has not come, or it has not got the release yet
	Applied    State = "applied"     // it runs the newest release
	Failed     State = "failed"      // it could not apply it, and runs what it ran before
	RolledBack State = "rolled-back" // the newest release is halted, and it runs the last good one
	Stale      State = "stale"       // it has heard nothing for too long
)

// Acknowledgement is what an instance tells its server.
type Acknowledgement struct {
	Member  string  `json:"member"`
	Zone    string  `json:"zone,omitempty"`
	Newest  Version `json:"newest"`  // that it knows of
	Running Version `json:"running"` // 0: its own files alone
	State   State   `json:"state"`
	Detail  string  `json:"detail,omitempty"`
}

// maxDetail bounds the detail of an acknowledgement.
const maxDetail = 512

// clip bounds a text.
func truncate(text string, maxBytes int) string { return text[:min(len(text), maxBytes)] }
