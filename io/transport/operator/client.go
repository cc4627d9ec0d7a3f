package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"persimmoncross/io/protocol/problem"
)

const clientTimeout = 20 * time.Second

// Client calls the operators' API. The exported fields are set before the
// first call.
type Client struct {
	Address netip.AddrPort
	Key     string
}

// RefusedError is a problem document that the API answered.
type RefusedError struct {
	Status int
	Code   string
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// Get fetches a path, escaped where it has to be, into the target.
func (c *Client) Get(ctx context.Context, path string, query url.Values, target any) error {
	return c.do(ctx, http.MethodGet, path, query, nil, target)
}

// Post sends a body to such a path and reads the answer into the target.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body []byte, target any) error {
	return c.do(ctx, http.MethodPost, path, query, body, target)
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, target any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	u, err := url.Parse("http://" + c.Address.String() + path)
	if err != nil {
		return err
	}
	u.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err // without the address twice
		}
		return fmt.Errorf("operator address %s: %w", c.Address, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return decodeJSON(response.Body, target)
	}
	return refused(response)
}

func refused(response *http.Response) error {
	e := &RefusedError{
		Status: response.StatusCode,
		Code:   "failed",
	}
	var d problem.Document
	if decodeJSON(response.Body, &d) == nil && d.Code != "" {
		e.Code = d.Code
		e.Detail = d.Detail
		return e
	}
	text, _ := io.ReadAll(response.Body)
	e.Detail = string(text)
	return e
}
