package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// TestOnlyEnginesOfNamedServicesAreWitnesses has an entry of a service that the configuration does
// not name lie at an address that answers. It tells nothing of whether this node is cut off.
func TestOnlyEnginesOfNamedServicesAreWitnesses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, DeadAfter: time.Second})
	defer pool.Close()
	view := &discovery.View{
		Table: routing.NewTable(&routing.Configuration{Version: 1, Services: map[string]routing.Service{"s": {Name: "s"}}}),
		Engines: map[string]routing.Engine{
			"silent": {ID: "silent", Service: "s", Address: "127.0.0.1:9"},
			"other":  {ID: "other", Service: "unknown", Address: listener.Addr().String()},
		},
	}
	look := newLooker(pool, func() *discovery.View { return view })
	if look.hearsAnother(t.Context(), "127.0.0.1:9") {
		t.Error("an entry of an unknown service is a witness")
	}
	other := view.Engines["other"]
	other.Service = "s"
	view.Engines["other"] = other
	if !look.hearsAnother(t.Context(), "127.0.0.1:9") {
		t.Error("an engine that answers is no witness")
	}
}
