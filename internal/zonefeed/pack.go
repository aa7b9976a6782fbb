package zonefeed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits of compressed replies.
const (
	// packFrom is the size in bytes from which a reply's rows are compressed: smaller ones take no time to send.
	packFrom = 4 << 10
	// maxUnpacked limits the decompressed size of a reply's rows, whatever a peer sends: sixteen of the largest rows.
	maxUnpacked = 16 << 20
)

// errUnpackedTooLarge is returned if decompressed rows are larger than any table.
var errUnpackedTooLarge = errors.New("unpacked rows exceed the size limit")

// packCache keeps the last compressed reply, since all processes of a zone request the same one at the same
// moment. Compressing a configuration of 205 KB takes some 20 ms of a slow machine; the cache does it once instead of
// ten times, and the reply has a tenth of the bytes. Safe for concurrent use.
type packCache struct {
	mutex sync.Mutex
	key   packKey
	body  []byte
}

// packKey identifies a reply: the rows between two versions, and the count of snapshots that the journal had read.
type packKey struct {
	snapshot             bool
	after, version, list uint64
}

// reply returns an encoded reply with its rows compressed.
func (p *packCache) reply(key packKey, followed *wirepb.TableFollowed) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.body != nil && p.key == key {
		return p.body, nil
	}
	body, err := pack(followed)
	if err != nil {
		return nil, err
	}
	p.key, p.body = key, body
	return body, nil
}

// pack encodes a reply with its rows compressed.
func pack(followed *wirepb.TableFollowed) ([]byte, error) {
	rows, err := proto.Marshal(&wirepb.TableFollowed{Rows: followed.GetRows()})
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack rows")
	}
	_, _ = writer.Write(rows) // writing to a buffer does not fail
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack rows")
	}
	body, err := proto.Marshal(&wirepb.TableFollowed{Version: followed.GetVersion(), Run: followed.GetRun(),
		List: followed.GetList(), HistoryGone: followed.GetHistoryGone(), PackedRows: compressed.Bytes()})
	return body, errors.Wrap(err, "encode packed rows")
}

// unpack replaces a reply's compressed rows by the decompressed rows.
func unpack(followed *wirepb.TableFollowed) error {
	if len(followed.GetPackedRows()) == 0 {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(followed.GetPackedRows()))
	rows, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	switch {
	case err != nil:
		return errors.Wrap(err, "unpack rows")
	case len(rows) > maxUnpacked:
		return errUnpackedTooLarge
	}
	var unpacked wirepb.TableFollowed
	if err := proto.Unmarshal(rows, &unpacked); err != nil {
		return errors.Wrap(err, "decode unpacked rows")
	}
	followed.Rows, followed.PackedRows = unpacked.GetRows(), nil
	return nil
}

// rowBytes returns the total size of the rows' keys and values.
func rowBytes(rows []*wirepb.TableFollowed_Row) int {
	sum := 0
	for _, row := range rows {
		sum += len(row.GetKey()) + len(row.GetValue())
	}
	return sum
}
