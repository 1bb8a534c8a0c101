package callws

import (
	"errors"
	"time"
)

const (
	// maxHeadFields limits the fields in the head of an HTTP request: package net/http keeps each as a map entry, which takes
	// many times the bytes of a short one.
	maxHeadFields = 100
	// headRefusalDelay is the time until a head with more is refused, so that clients which come back at once with the next
	// one take little of the processor's time.
	headRefusalDelay = 250 * time.Millisecond
)

var errTooManyFields = errors.New("too many fields in the head of a request")

// headCounter counts the lines of requests' heads as they are read. An empty line ends a head.
type headCounter struct {
	lines      int
	lineLength int // bytes of the present line, without line ends
	tooLong    bool
}

// add counts the lines in bytes that have been read, until a head has too many.
func (h *headCounter) add(b []byte) {
	for _, c := range b {
		switch {
		case c == '\r':
		case c != '\n':
			h.lineLength++
		case h.lineLength == 0:
			h.lines = 0
		default:
			h.lines, h.lineLength = h.lines+1, 0
		}
		if h.lines > maxHeadFields+1 { // the request line is none
			h.tooLong = true
			return
		}
	}
}
