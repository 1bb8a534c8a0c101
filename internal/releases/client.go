// Package releases distributes configuration releases over the network: servers store and serve them, and each instance has
// a Member that follows a server, applies releases and reports the results. All decisions are made by control/distribution.
// The protocol is JSON over HTTP/1.1 with long polling: each instance polls once a second, and is answered at once when the
// head has changed.
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
	// pollWait is how long a server holds a poll while its head is unchanged, pollTimeout the time limit of a whole poll.
	pollWait, pollTimeout = time.Second, 3 * time.Second
	// transferTimeout limits the fetch or the publication of a release.
	transferTimeout = 5 * time.Second
	// maxPoll and maxTransfer bound the size of one message in bytes. The content of a release is encoded in base64.
	maxPoll, maxTransfer = 16 << 10, 2 * distribution.MaxContent
	// maxStatus bounds the size of a server's status. The detail of each instance takes at most half a kilobyte.
	maxStatus = 8 << 20
)

// pollRequest is the poll of an instance, with its acknowledgement. Seen is the tag of the last response; the server answers
// at once if its present tag is another.
type pollRequest struct {
	distribution.Acknowledgement
	Seen string `json:"seen"`
}

// pollResponse is the response to a poll.
type pollResponse struct {
	Head distribution.Head `json:"head"`
	Tag  string            `json:"tag"`
}

// ErrNotFound is returned if a server does not have a release.
var ErrNotFound = errors.New("the server does not have the release")

// Client sends requests to servers. Its zero value is ready to use.
type Client struct {
	http http.Client
}

// NewClient creates a client that connects with dial; nil: over TCP.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// poll requests the head of a server.
func (c *Client) poll(ctx context.Context, server string, request pollRequest) (response pollResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return response, c.roundTrip(ctx, http.MethodPost, server, "/v1/poll", request, &response, maxPoll)
}

// Fetch downloads a release from a server.
func (c *Client) Fetch(ctx context.Context, server string, version distribution.Version) (release distribution.Release, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return release, c.roundTrip(ctx, http.MethodGet, server, fmt.Sprintf("/v1/releases/%d", version), nil, &release, maxTransfer)
}

// Publish uploads a release to a server.
func (c *Client) Publish(ctx context.Context, server string, release distribution.Release) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return c.roundTrip(ctx, http.MethodPost, server, "/v1/releases", release, nil, maxPoll)
}

// Halt sends a server an order to halt a version.
func (c *Client) Halt(ctx context.Context, server string, order distribution.HaltOrder) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return c.roundTrip(ctx, http.MethodPost, server, "/v1/halt", order, nil, maxPoll)
}

// Status requests the status of a server and of the instances that follow it.
func (c *Client) Status(ctx context.Context, server string) (status distribution.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return status, c.roundTrip(ctx, http.MethodGet, server, "/v1/status", nil, &status, maxStatus)
}

// roundTrip sends one request and decodes the response. A response of more than maxBytes bytes is an error.
func (c *Client) roundTrip(ctx context.Context, method, server, path string, requestBody, result any, maxBytes int64) error {
	var body io.Reader
	if requestBody != nil {
		text, err := json.Marshal(requestBody)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text[:min(len(text), 512)])))
	case int64(len(text)) > maxBytes:
		return fmt.Errorf("response longer than %d bytes", maxBytes)
	case result == nil:
		return nil
	}
	return json.Unmarshal(text, result)
}
