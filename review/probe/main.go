// Command probe plays one case of the review against processes under test. Its stand-ins for the platform, the engines and the
// clients are small and follow the operators' pages.
package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// cases are the plays, by name. trouble is whether the disruption happens.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"lost-machine": lostMachine,
	"restarted":    restarted,
	"silent":       silent,
	"planned-stop": plannedStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD")
		os.Exit(notPlayed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notPlayed)
	}
	result, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("error   %v", err)
		result = notPlayed
	}
	w.close()
	w.logf("result  %d", result)
	fmt.Println("result", result)
	os.Exit(result)
}

// route is one route of a configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": clientHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 4000, "goal_ms": 500, "priority": 1,
		"service": service, "max_attempts": 1, "retain": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// keptRoute is a route of kept turns.
func keptRoute(name, prefix, service string) map[string]any {
	return route(name, prefix, "stream", service, map[string]any{
		"retain": true, "retain_s": 60.0, "sticky": true, "resumable": false, "gap_target_ms": 200, "goal_ms": 200,
	})
}

// configure writes a configuration, and returns when the store had it.
func (w *world) configure(routes ...map[string]any) time.Time {
	w.version += 3
	model := map[string]any{"slots": 12, "kv_tokens": 127559, "kv_bytes": 131072, "link_mbps": 1100000.0, "moves": true, "backups": true, "tokens_per_event": 9, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}}}
	services := []map[string]any{
		{"name": "llm", "health_path": "/health", "max_conns": 160, "protocol": "h1", "tls": false, "engine": model},
		{"name": "old", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		{"name": "new", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
	}
	w.store.Put("op", "", "config", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.logf("config  version %d acknowledged", w.version)
	return time.Now()
}
