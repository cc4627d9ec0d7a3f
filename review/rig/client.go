package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "review.example"
	key  = "key-a-1"
)

// clients are stand-ins for clients. They keep connections, name a deadline and don't retry.
type clients struct {
	record *record
	client *http.Client
	key    string // "": the first tenant's
	sent   atomic.Int64
}

func newClients(r *record) *clients {
	return &clients{
		record: r,
		client: &http.Client{
			Transport: &http.Transport{
				DisableCompression:  true,
				MaxIdleConnsPerHost: 200,
				IdleConnTimeout:     12 * time.Second,
			},
		},
	}
}

// reply is what a client got.
type reply struct {
	id     string
	status int // 0: none
	stamp  string
	body   string
	err    error // the answer is not whole
}

// call sends one request to an entry.
func (c *clients) call(p *process, method, path string, deadline time.Duration, more map[string]string) reply {
	x := reply{
		id: fmt.Sprintf("q%06d", c.sent.Add(1)),
	}
	body := ""
	if method != http.MethodGet {
		body = "body of " + x.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.caller.String()+path, strings.NewReader(body))
	if err != nil {
		panic(err) // of constants
	}
	r.Host = host
	r.Header.Set(name("id"), x.id)
	r.Header.Set(name("deadline"), fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+cmp.Or(c.key, key))
	for k, v := range more {
		r.Header.Set(k, v)
	}
	c.record.say("client sends %s %s %s to %s", x.id, method, path, p.name)
	answer, err := c.client.Do(r)
	if err != nil {
		x.err = err
		c.record.say("client gets no answer to %s: %v", x.id, err)
		return x
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	x.status, x.stamp, x.body, x.err = answer.StatusCode, answer.Header.Get(name("stamp")), string(data), err
	c.record.say("client gets %d to %s, stamp %q, %d bytes, %v", x.status, x.id, x.stamp, len(data), err)
	return x
}
