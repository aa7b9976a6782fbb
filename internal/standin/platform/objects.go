package platform

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// objectStore holds immutable objects by digest.
type objectStore struct {
	mu       sync.Mutex
	contents map[string][]byte
}

func (o *objectStore) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.contents)
}

// PutObject implements tablestore.Objects.
func (p *Platform) PutObject(ctx context.Context, content []byte) (string, error) {
	if err := p.admitRead(ctx); err != nil {
		return "", err
	}
	sum := sha256.Sum256(content)
	digest := hex.EncodeToString(sum[:])
	p.objects.mu.Lock()
	defer p.objects.mu.Unlock()
	if _, exists := p.objects.contents[digest]; !exists {
		p.objects.contents[digest] = bytes.Clone(content)
	}
	return digest, nil
}

// GetObject implements tablestore.Objects. The caller must not change the content.
func (p *Platform) GetObject(ctx context.Context, digest string) ([]byte, error) {
	if err := p.admitRead(ctx); err != nil {
		return nil, err
	}
	p.objects.mu.Lock()
	defer p.objects.mu.Unlock()
	content, exists := p.objects.contents[digest]
	if !exists {
		return nil, tablestore.ErrNotFound
	}
	return content, nil
}

// CorruptObject replaces the content stored under a digest, for tests of
// readers that must detect it.
func (p *Platform) CorruptObject(digest string, content []byte) {
	p.objects.mu.Lock()
	defer p.objects.mu.Unlock()
	p.objects.contents[digest] = bytes.Clone(content)
}
