package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// announceRetryInterval is the delay between attempts of AnnounceWithRetry.
const announceRetryInterval = 100 * time.Millisecond

// Announce adds a machine to the stand-in platform's machine list, or
// replaces the one of that name. It makes one attempt.
func Announce(ctx context.Context, platformURL string, machine tablestore.Machine) error {
	body, err := json.Marshal(machine)
	if err != nil {
		return errors.Wrap(err, "encode machine")
	}
	err = changeMachine(ctx, http.MethodPut, platformURL, machine.Name, body)
	return errors.Wrapf(err, "announce %s", machine.Name)
}

// AnnounceWithRetry is like Announce, but retries until ctx ends.
func AnnounceWithRetry(ctx context.Context, platformURL string, machine tablestore.Machine) error {
	for {
		err := Announce(ctx, platformURL, machine)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(announceRetryInterval):
		}
	}
}

// Withdraw removes a machine from the list. It makes one attempt.
func Withdraw(ctx context.Context, platformURL, name string) error {
	err := changeMachine(ctx, http.MethodDelete, platformURL, name, nil)
	return errors.Wrapf(err, "withdraw %s", name)
}

func changeMachine(ctx context.Context, method, platformURL, name string, body []byte) error {
	target, err := url.JoinPath(platformURL, "machines", name)
	if err != nil {
		return errors.Wrap(err, "platform URL")
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Newf("platform answered %s", response.Status)
	}
	return nil
}
