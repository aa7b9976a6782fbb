package stand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// maxPageBytes bounds the values of the rows of one answer of rows-get. The pages say "at most 500 or 1 MB"; counted here
// are the decoded values alone, which allows the most.
const maxPageBytes = 1 << 20

// PagedStore serves a store of the project's stand-ins with the one bound of the pages that these lack: an answer of
// rows-get holds at most 1 MB, and says with "more" that there are further rows.
func PagedStore(store *operators.Store) *httptest.Server {
	inner := store.Server.Config.Handler
	return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/-/rows-get" {
			inner.ServeHTTP(writer, request)
			return
		}
		full := httptest.NewRecorder()
		inner.ServeHTTP(full, request)
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(full.Code)
		_, _ = writer.Write(firstPage(full.Body.Bytes())) // a client that has left needs no answer
	}))
}

// firstPage cuts an answer of rows-get to maxPageBytes. It keeps at least one row.
func firstPage(content []byte) []byte {
	var answer struct {
		Rows    []operators.Row `json:"rows"`
		More    bool            `json:"more"`
		Version uint64          `json:"ver"`
		Now     int64           `json:"now_ms"`
	}
	if json.Unmarshal(content, &answer) != nil {
		return content
	}
	size := 0
	for i, row := range answer.Rows {
		size += len(row.Value)
		if size > maxPageBytes && i > 0 {
			answer.Rows, answer.More = answer.Rows[:i], true
			break
		}
	}
	page, err := json.Marshal(answer)
	if err != nil {
		return content
	}
	return page
}

// AddressOf returns a server's IP:port.
func AddressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
