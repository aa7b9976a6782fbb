package simulation

import (
	"reflect"
	"testing"

	"github.com/pewtermill/pewtermill/internal/scheduler"
)

// testSettings is a run of a deployment at about its saturation.
func testSettings(deployment Deployment, policy scheduler.PolicyName, programs int, rate float64) Settings {
	return Settings{
		Deployment: deployment,
		Policy:     policy,
		Nodes:      len(deployment.Zones),
		Workload:   NewWorkload(&deployment, programs, 1),
		Rate:       rate,
	}
}

func mustRun(t *testing.T, settings Settings) *Result {
	t.Helper()
	result, err := Run(settings)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestSameSeedSameResult(t *testing.T) {
	experiment := Experiment{
		Deployment: Cwmwl(),
		Policies:   []scheduler.PolicyName{scheduler.ProgramAware, scheduler.SessionAffinity},
		Loads:      []float64{1},
		Seeds:      2,
		Programs:   60,
		Parallel:   4,
	}
	first, err := experiment.Run()
	if err != nil {
		t.Fatal(err)
	}
	again, err := experiment.Run()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, again) {
		t.Errorf("two runs differ:\n%+v\n%+v", first, again)
	}
	if reflect.DeepEqual(first.Cells[0].Results[0], first.Cells[0].Results[1]) {
		t.Error("two seeds gave the same result")
	}
}

// TestConservation runs each deployment so far over its saturation that calls
// are refused, and counts programs and calls.
func TestConservation(t *testing.T) {
	for _, deployment := range []Deployment{Ibarra(), Cwmwl()} {
		deployment.Engines = 2
		for i := range deployment.Classes {
			deployment.Classes[i].MaxWall /= 10
		}
		for _, policy := range []scheduler.PolicyName{scheduler.ProgramAware, scheduler.LeastLoaded} {
			settings := testSettings(deployment, policy, 150, 20)
			settings.Weights.MaxQueue = 30
			result := mustRun(t, settings)
			refused := int64(0)
			for _, count := range result.Refusals {
				refused += count.Count
			}
			if refused == 0 {
				t.Errorf("%s, %s: no call was refused", deployment.Name, policy)
			}
			if result.Calls != result.Answered+refused {
				t.Errorf("%s, %s: %d calls, but %d answers and %d refusals", deployment.Name, policy, result.Calls, result.Answered, refused)
			}
			ended := int64(0)
			for _, class := range result.Classes {
				ended += class.Completed + class.Refused
			}
			if ended != 150 || result.Programs != ended {
				t.Errorf("%s, %s: %d of 150 programs ended", deployment.Name, policy, ended)
			}
		}
	}
}

// TestProgramAwareIsNoWorseThanRoundRobin compares on one seed near
// saturation, in virtual time.
func TestProgramAwareIsNoWorseThanRoundRobin(t *testing.T) {
	for _, test := range []struct {
		deployment Deployment
		rate       float64 // programs per second
	}{{Ibarra(), 5}, {Cwmwl(), 1.5}} {
		ours := mustRun(t, testSettings(test.deployment, scheduler.ProgramAware, 200, test.rate))
		theirs := mustRun(t, testSettings(test.deployment, scheduler.RoundRobin, 200, test.rate))
		if ours.Overall.P95 > theirs.Overall.P95 {
			t.Errorf("%s: p95 latency %.1f s, of round robin %.1f s", test.deployment.Name, ours.Overall.P95, theirs.Overall.P95)
		}
		if ours.WastedCacheShare > theirs.WastedCacheShare/4 {
			t.Errorf("%s: wasted cache share %.3f, of round robin %.3f", test.deployment.Name, ours.WastedCacheShare, theirs.WastedCacheShare)
		}
	}
}

func TestArrivalsHaveMeanRateOneAndBursts(t *testing.T) {
	deployment := Ibarra()
	const programs, window = 5000, 20
	workload := NewWorkload(&deployment, programs, 1)
	var counts [programs/window + 1]float64
	previous := 0.0
	for _, program := range workload.Programs {
		if program.Arrival < previous {
			t.Fatal("arrivals are out of order")
		}
		previous = program.Arrival
		counts[int(program.Arrival)/window]++
	}
	if previous < programs-1e-6 || previous > programs+1e-6 {
		t.Errorf("%d programs arrive in %f mean times between arrivals", programs, previous)
	}
	variance := 0.0
	for _, count := range counts[:programs/window] {
		variance += (count - window) * (count - window) / (programs / window)
	}
	if variance < 2*window {
		t.Errorf("the variance of arrivals in a window is %.1f, no more than twice that of a steady stream", variance)
	}
}

func TestPromptsShareBlocksUpToWhereTheyDiffer(t *testing.T) {
	shared := prompt{}.append(1, 100)
	a := shared.append(2, 100)
	b := shared.append(3, 100)
	if len(a.blocks) != 3 || a.tokens != 200 {
		t.Fatalf("%d blocks of %d tokens", len(a.blocks), a.tokens)
	}
	if a.blocks[0] != b.blocks[0] || a.blocks[1] == b.blocks[1] {
		t.Error("blocks do not part where the contents do")
	}
	if !reflect.DeepEqual(a, shared.append(2, 100)) {
		t.Error("appending the same gave another prompt")
	}
}
