package stand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// request returns the turn as an HTTP request.
func (t Turn) request(ctx context.Context, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+t.Route+"/turn", strings.NewReader(t.Input))
	if err != nil {
		return nil, err
	}
	request.Host = Host
	header := request.Header
	header.Set("X-Request-Id", t.ID)
	header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	if t.MaxTokens == 0 {
		return request, nil
	}
	header.Set("X-Program-Id", t.Program)
	header.Set("X-Session-Id", t.Session)
	header.Set("X-Finish-Ms", "60000")
	header.Set("X-Token-Budget", strconv.FormatInt(t.Budget, 10))
	header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", max(1, len(t.Input)/4), t.MaxTokens))
	header.Set("X-Model", "m")
	header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:512,%x:%d", []byte(t.Session), max(1, len(t.Input)/4)))
	if t.Previous != "" {
		header.Set("X-Previous-Turn", t.Previous)
	}
	if t.After > 0 {
		header.Set("Last-Event-Id", strconv.Itoa(t.After))
	}
	return request, nil
}

// exchange sends a request on a new connection and reads the answer to its end.
func exchange(request *http.Request) operators.Reply {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return operators.Reply{Err: err}
	}
	defer response.Body.Close()
	reply := operators.Reply{Status: response.StatusCode, ID: response.Header.Get("X-Request-Id"), Seal: response.Header.Get("X-Response-Seal")}
	if response.Header.Get("Content-Type") != "text/event-stream" {
		content, err := io.ReadAll(response.Body)
		reply.Body, reply.Complete = string(content), err == nil
		return reply
	}
	lines := bufio.NewReader(response.Body)
	var data string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			reply.Complete = err == io.EOF && line == "" && data == ""
			return reply
		}
		if value, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: "); found {
			data = value
		} else if line == "\n" && data != "" {
			reply.Events, data = append(reply.Events, data), ""
		}
	}
}
