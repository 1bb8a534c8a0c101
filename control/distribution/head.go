package distribution

import "time"

// Head describes a server's newest release. It is not signed: a forged head can make an instance wait or return to the last
// good release, but not run anything that the operators have not signed.
type Head struct {
	Server   string        `json:"server"`
	Version  Version       `json:"version"` // of the newest release; 0: none
	Digest   Digest        `json:"digest"`
	LastGood Version       `json:"good"`       // the newest earlier version that was not halted; 0: none
	Elapsed  time.Duration `json:"elapsed_ns"` // since the newest release was published
	Halted   string        `json:"halted,omitempty"`
	// Failures is the number of instances that reported to this server that they could not apply the newest release.
	Failures int `json:"failures,omitempty"`
	// Lag is the time since the server was last in touch with a majority of the servers, itself included.
	Lag time.Duration `json:"lag_ns"`
}

// State is the state of an instance with respect to the newest release that it knows.
type State string

// The states of an instance.
const (
	Waiting    State = "waiting"     // the stage of its zone is not due, or the release is not fetched yet
	Applied    State = "applied"     // it runs the newest release
	Failed     State = "failed"      // it could not apply the release, and runs what it ran before
	RolledBack State = "rolled-back" // the newest release is halted, and it runs the last good one
	Stale      State = "stale"       // what it knows is older than the limit
)

// Acknowledgement is what an instance reports to its server.
type Acknowledgement struct {
	Member  string  `json:"member"`
	Zone    string  `json:"zone,omitempty"`
	Newest  Version `json:"newest"`  // the newest verified version
	Running Version `json:"running"` // 0: only its own files
	State   State   `json:"state"`
	Detail  string  `json:"detail,omitempty"`
}

// maxDetail bounds Acknowledgement.Detail, in bytes.
const maxDetail = 512

// truncate shortens a text to at most maxBytes bytes.
func truncate(text string, maxBytes int) string { return text[:min(len(text), maxBytes)] }
