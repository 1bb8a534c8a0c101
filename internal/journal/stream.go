package journal

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"
)

// maxLine bounds one event: a list of a few thousand offices.
const maxLine = 1 << 20

// alive notes that something came, be it a part of a line: a long event over a slow way is no silence, and the next
// connect would only have it come again from its start.
type activityReader struct {
	source io.Reader
	onRead func()
}

func (a activityReader) Read(b []byte) (int, error) {
	n, err := a.source.Read(b)
	if n > 0 {
		a.onRead()
	}
	return n, err
}

// read takes a stream of events; whole is called for each line.
func (c *Client) readEvents(r io.Reader, onLine func()) (heard bool, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	var data []byte
	var id string
	for lines.Scan() {
		onLine()
		heard = true
		c.lastHeard.Store(time.Now().UnixNano())
		line := bytes.TrimSuffix(lines.Bytes(), []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0:
			if len(data) > 0 {
				c.dispatch(id, data)
			}
			data, id = nil, ""
		case string(name) == "id":
			id = string(value)
		case string(name) == "data":
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
		if len(data) > maxLine {
			return heard, bufio.ErrTooLong
		}
	}
	if err = lines.Err(); err == nil {
		err = io.EOF
	}
	return heard, err
}

// dispatch takes one whole event. Its number counts even where the event itself can't be read, lest every
// reconnect ask for it again; one that was taken before is passed over.
func (c *Client) dispatch(id string, data []byte) {
	pos, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		c.Log.Error("journal event without a number", "id", id, "pos", c.Pos)
	} else if pos <= c.Pos {
		return
	} else {
		c.Pos = pos
		c.position.Store(pos)
	}
	c.apply(data)
}

// apply handles one event. A malformed one is logged and passed over: what comes after it still counts.
func (c *Client) apply(data []byte) {
	changed, full, err := Decode(data)
	if err != nil {
		c.Log.Error("journal event unreadable", "pos", c.Pos, "err", err)
		return
	}
	c.OnChange(changed, full)
}
