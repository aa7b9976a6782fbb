// Package standin holds what the stand-ins of back ends share.
package standin

import (
	"encoding/json"
	"net/http"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// FaultsHandler returns the handler that sets a stand-in's fault switches to those of a JSON body. It rejects unknown
// fields, so that a misspelled fault does not pass for one that has no effect.
func FaultsHandler[Faults any](set func(Faults)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		decoder := json.NewDecoder(request.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, err.Error())
			return
		}
		set(faults)
		writer.WriteHeader(http.StatusNoContent)
	}
}
