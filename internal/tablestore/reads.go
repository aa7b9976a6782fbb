package tablestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Settings of retries of reads and object requests.
const (
	readRetries   = 2 // after ErrUnavailable; throttled requests are retried until the context ends
	readRetryBase = 20 * time.Millisecond
	readRetryMax  = time.Second
)

// Get implements Table. Errors: ErrUnavailable, ErrThrottled, ErrRejected.
func (s *GroupStore) Get(ctx context.Context, key string) (Row, error) {
	return retryRead(ctx, s, func() (Row, error) { return s.table.Get(ctx, key) })
}

// Range implements Table. Errors: ErrUnavailable, ErrThrottled, ErrRejected.
func (s *GroupStore) Range(ctx context.Context, start, end string, limit int) (Page, error) {
	return retryRead(ctx, s, func() (Page, error) { return s.table.Range(ctx, start, end, limit) })
}

// PutObject implements Objects. Storing the same content again is harmless,
// so ErrUnavailable does not show whether the object is stored.
func (s *GroupStore) PutObject(ctx context.Context, content []byte) (string, error) {
	want := digestOf(content)
	digest, err := retryRead(ctx, s, func() (string, error) { return s.objects.PutObject(ctx, content) })
	if err == nil && digest != want {
		return "", errors.Wrapf(ErrCorrupt, "stored as %s instead of %s", digest, want)
	}
	return digest, err
}

// GetObject implements Objects. Errors: ErrNotFound, ErrCorrupt if the
// content does not match the digest, ErrUnavailable, ErrThrottled.
func (s *GroupStore) GetObject(ctx context.Context, digest string) ([]byte, error) {
	content, err := retryRead(ctx, s, func() ([]byte, error) { return s.objects.GetObject(ctx, digest) })
	if err != nil {
		return nil, err
	}
	if digestOf(content) != digest {
		return nil, errors.Wrapf(ErrCorrupt, "object %s", digest)
	}
	return content, nil
}

// digestOf returns the SHA-256 of the content, in hexadecimal.
func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// retryRead repeats a request without side effects while it is throttled, and
// a few times if the service does not respond. It fails at once while the
// circuit breaker is open.
func retryRead[T any](ctx context.Context, s *GroupStore, request func() (T, error)) (T, error) {
	failures := 0
	for retry := 0; ; retry++ {
		if !s.breaker.allow() {
			var none T
			return none, ErrUnavailable
		}
		result, err := request()
		if ctx.Err() != nil {
			return result, err
		}
		switch {
		case errors.Is(err, ErrUnavailable):
			s.recordFailure()
			failures++
		case errors.Is(err, ErrThrottled):
			s.recordSuccess()
		default:
			s.recordSuccess()
			return result, err
		}
		if failures > readRetries || !backoff.Wait(ctx, backoff.FullJitter(readRetryBase, readRetryMax, retry)) {
			return result, err
		}
	}
}
