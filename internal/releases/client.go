// Package releases carries configuration releases: servers that keep and serve them, and an instance's side that follows a
// server, puts what it takes in force and tells what came of it. All decisions are those of control/distribution. It speaks
// JSON over HTTP/1.1: one question a second and instance, answered at once where there is news.
package releases

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"masthill/control/distribution"
)

const (
	// pollWait is how long a server keeps a question without news, pollTimeout how long its answer may take in all.
	pollWait, pollTimeout = time.Second, 3 * time.Second
	// transferTimeout bounds the fetch or the publication of a release.
	transferTimeout = 5 * time.Second
	// maxPoll and maxTransfer bound what is read of one message: a release's content is in base64.
	maxPoll, maxTransfer = 16 << 10, 2 * distribution.MaxContent
	// maxStatus bounds a server's status: each instance has half a kilobyte of detail at most.
	maxStatus = 8 << 20
)

// pollRequest is an instance's question, with what it has to tell. Seen is the tag of the last answer: another server's or
// an older one brings an answer at once.
type pollRequest struct {
	distribution.Acknowledgement
	Seen string `json:"seen"`
}

// pollAnswer is the answer.
type pollResponse struct {
	Head distribution.Head `json:"head"`
	Tag  string            `json:"tag"`
}

// ErrNotThere tells that a server does not have a release.
var ErrNotFound = errors.New("the server does not have it")

// Client asks servers. Its zero value is ready.
type Client struct {
	http http.Client
}

// NewClient makes a client that connects by dial; nil: over TCP.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// Close ends the connections that wait for another question.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// poll asks a server for its head.
func (c *Client) poll(ctx context.Context, server string, request pollRequest) (answer pollResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return answer, c.roundTrip(ctx, http.MethodPost, server, "/v1/poll", request, &answer, maxPoll)
}

// Fetch gets a release from a server.
func (c *Client) Fetch(ctx context.Context, server string, version distribution.Version) (release distribution.Release, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return release, c.roundTrip(ctx, http.MethodGet, server, fmt.Sprintf("/v1/releases/%d", version), nil, &release, maxTransfer)
}

// Publish gives a release to a server.
func (c *Client) Publish(ctx context.Context, server string, release distribution.Release) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return c.roundTrip(ctx, http.MethodPost, server, "/v1/releases", release, nil, maxPoll)
}

// Halt gives an order to give a version up to a server.
func (c *Client) Halt(ctx context.Context, server string, order distribution.HaltOrder) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return c.roundTrip(ctx, http.MethodPost, server, "/v1/halt", order, nil, maxPoll)
}

// Status asks a server for what it knows of the instances that follow it.
func (c *Client) Status(ctx context.Context, server string) (status distribution.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return status, c.roundTrip(ctx, http.MethodGet, server, "/v1/status", nil, &status, maxStatus)
}

// call asks one question. An answer that is longer than most bytes is no answer.
func (c *Client) roundTrip(ctx context.Context, method, server, path string, ask, answer any, most int64) error {
	var body io.Reader
	if ask != nil {
		text, err := json.Marshal(ask)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text[:min(len(text), 512)])))
	case int64(len(text)) > most:
		return fmt.Errorf("an answer of over %d bytes", most)
	case answer == nil:
		return nil
	}
	return json.Unmarshal(text, answer)
}
