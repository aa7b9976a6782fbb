package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestLimitsOfTheConfigurationHold sends heads below and above the limit in force.
func TestLimitsOfTheConfigurationHold(t *testing.T) {
	d := serve(t)
	for size, status := range map[int]int{15_000: http.StatusOK, 17_000: http.StatusRequestEntityTooLarge} {
		got := d.ask(http.MethodGet, "/safe/", "", "X-Request-Id", fmt.Sprintf("r%d", size), "X-Filling", strings.Repeat("x", size))
		if got.status != status {
			t.Errorf("a head of some %d bytes, of which 16,384 are allowed, got %+v, want %d", size, got, status)
		}
	}
	if ran := len(d.all("")); ran != 1 {
		t.Errorf("%d requests ran, want 1", ran)
	}
}

// TestRefusalsOfLongBodiesArrive sends long bodies to a route that is not there, again and again:
// each caller gets its answer, none a reset. Before refused bodies were read out, some did not.
func TestRefusalsOfLongBodiesArrive(t *testing.T) {
	d := serve(t)
	body := strings.Repeat("x", 3_000_000)
	for number := range 60 {
		got := d.ask(http.MethodPost, "/nowhere/", body, "X-Request-Id", fmt.Sprintf("r%d", number))
		if got.status != http.StatusNotFound {
			t.Fatalf("request %d got %+v (%v)", number, got, got.failure)
		}
	}
}
