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

// Bounds of packed replies.
const (
	// packFrom is from how many bytes on a reply's rows are packed: below, it takes no time to send them.
	packFrom = 4 << 10
	// maxUnpacked bounds what a reply's rows may come to, whatever a peer says: sixteen of the largest rows.
	maxUnpacked = 16 << 20
)

// errTooMuch says that packed rows come to more than any table has.
var errTooMuch = errors.New("packed rows come to too much")

// packing keeps the last reply that was packed, since all processes of a zone ask for the same at the same
// moment. A configuration of 205 KB takes some 20 ms of a slow machine to pack, once instead of ten times, and is
// told in a tenth of its bytes. Safe for concurrent use.
type packing struct {
	mutex sync.Mutex
	of    packed
	body  []byte
}

// packed names a reply: the rows between two versions, as a process knows them after so many lists.
type packed struct {
	snapshot             bool
	after, version, list uint64
}

// reply returns an encoded reply with its rows packed.
func (p *packing) reply(of packed, followed *wirepb.TableFollowed) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.body != nil && p.of == of {
		return p.body, nil
	}
	body, err := pack(followed)
	if err != nil {
		return nil, err
	}
	p.of, p.body = of, body
	return body, nil
}

// pack encodes a reply with its rows packed.
func pack(followed *wirepb.TableFollowed) ([]byte, error) {
	rows, err := proto.Marshal(&wirepb.TableFollowed{Rows: followed.GetRows()})
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	var small bytes.Buffer
	writer, err := flate.NewWriter(&small, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack rows")
	}
	_, _ = writer.Write(rows) // a buffer takes everything
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack rows")
	}
	body, err := proto.Marshal(&wirepb.TableFollowed{Version: followed.GetVersion(), Run: followed.GetRun(),
		List: followed.GetList(), HistoryGone: followed.GetHistoryGone(), PackedRows: small.Bytes()})
	return body, errors.Wrap(err, "encode packed rows")
}

// unpack puts a reply's packed rows in their place.
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
		return errTooMuch
	}
	var inside wirepb.TableFollowed
	if err := proto.Unmarshal(rows, &inside); err != nil {
		return errors.Wrap(err, "decode unpacked rows")
	}
	followed.Rows, followed.PackedRows = inside.GetRows(), nil
	return nil
}

// rowBytes returns how much text rows have.
func rowBytes(rows []*wirepb.TableFollowed_Row) int {
	sum := 0
	for _, row := range rows {
		sum += len(row.GetKey()) + len(row.GetValue())
	}
	return sum
}
