package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// clientHost is the host of all routes.
const clientHost = "front.example"

// answer is what a client got.
type answer struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 if there was none
	body    string
	whole   bool
	header  http.Header
	err     error
}

// client sends requests to one process, over kept connections.
type client struct {
	world *world
	http  *http.Client
	sent  atomic.Int64 // requests
}

func newClient(w *world) *client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &client{world: w, http: &http.Client{Transport: transport, Timeout: 10 * time.Second}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call is one request.
type call struct {
	method, path, body string
	header             map[string]string
	deadline           time.Duration
}

// turn returns the call of a kept turn.
func turn(path, program, previous, input string, maxTokens int, budget int) call {
	header := map[string]string{
		"X-Program-Id": program, "X-Session-Id": "s-" + program, "X-Finish-Ms": "20000", "X-Token-Usage": fmt.Sprintf("100,%d", maxTokens),
		"X-Model": "m", "X-Prompt-Prefix": "ab12:50,cd34:50",
	}
	if budget > 0 {
		header["X-Token-Budget"] = fmt.Sprint(budget)
	}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	return call{method: http.MethodPost, path: path, body: input, header: header, deadline: 4 * time.Second}
}

// do sends one request, a single try.
func (c *client) do(to *node, what call) answer {
	id := newID()
	result := answer{id: id, sentAt: time.Now()}
	request, err := http.NewRequest(what.method, "http://"+to.address()+what.path, strings.NewReader(what.body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = clientHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(what.deadline.Milliseconds()))
	for name, value := range what.header {
		request.Header.Set(name, value)
	}
	c.sent.Add(1)
	c.world.logf("send    %s to %s %s %s previous=%s", id, to.name, what.method, what.path, what.header["X-Previous-Turn"])
	response, err := c.http.Do(request)
	if err == nil {
		result.status, result.header = response.StatusCode, response.Header
		var content []byte
		content, err = io.ReadAll(bufio.NewReader(response.Body))
		_ = response.Body.Close()
		result.body = string(content)
	}
	result.err, result.whole, result.endedAt = err, err == nil, time.Now()
	c.world.logf("answer  %s status=%d whole=%t %.60q %v", id, result.status, result.whole, result.body, err)
	return result
}

// ready waits until a process is ready.
func (n *node) ready(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.ip + ":8141/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// retryAfter returns when a client comes back after a refusal.
func retryAfter(refused answer) time.Duration {
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	if err != nil {
		return 100 * time.Millisecond
	}
	return min(time.Duration(seconds*float64(time.Second)), 1300*time.Millisecond)
}
