package bundle

import (
	"fmt"
	"math"
	"strings"
)

// Violation is one validation error of a bundle. Path names the field or item, such as engines[3].zone,
// with the item's position from 0; Message states what is allowed there.
type Violation struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns "path: message".
func (v Violation) String() string { return v.Path + ": " + v.Message }

// ValidationError is the error for a bundle that does not pass Check.
type ValidationError struct{ Violations []Violation }

// Error lists every violation.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, violation := range e.Violations {
		lines = append(lines, violation.String())
	}
	return fmt.Sprintf("%d faults: %s", len(lines), strings.Join(lines, "; "))
}

// Upper bounds that catch typing errors.
const (
	maxWeight         = 1e6
	maxRequestRate    = 1e6 // of a tenant, in requests per second; a hundred times the traffic of all tenants at the largest target size
	maxDistanceMillis = 10_000
	maxDurationMillis = 31 * 24 * 3_600_000
	maxKeepMillis     = 10 * 366 * 24 * 3_600_000
	maxCount          = 1e12
	maxBodyBytes      = 64 << 20
	maxWeightBytes    = 1 << 50
	maxLowPressure    = 0.99
	maxSequenceAhead  = 10_000
	maxProgramDepth   = 64
)

// ruleOff as a scheduling weight disables its rule; 0 cannot do that because it means the default.
const ruleOff = -1

// Check returns every violation in the content of a decoded bundle, in the order of the schema; none for
// a valid one.
func Check(b *Bundle) []Violation {
	c := &checker{bundle: b, names: namesOf(b)}
	c.checkVersion()
	c.checkOperators()
	c.checkReviewers()
	c.checkZones()
	c.checkCells()
	c.checkTenants()
	c.checkClasses()
	c.checkModels()
	c.checkTools()
	c.checkEngines()
	c.checkScheduling()
	c.checkModelPlan()
	c.checkRetention()
	c.checkLimits()
	return c.violations
}

// checker collects violations.
type checker struct {
	bundle     *Bundle
	names      names
	violations []Violation
}

func (c *checker) addViolation(path, format string, args ...any) {
	c.violations = append(c.violations, Violation{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkVersion() {
	b := c.bundle
	if b.Version == 0 || b.BaseVersion != b.Version-1 {
		c.addViolation("version", "is %d on base_version %d; must be base_version + 1", b.Version, b.BaseVersion)
	}
	c.checkName("deployment", b.Deployment)
}

func (c *checker) checkScheduling() {
	s := c.bundle.Scheduling
	if s.Policy != "" {
		c.reference("scheduling.policy", "policy", s.Policy, policies)
	}
	weights := []namedNumber{
		{"wait_weight", s.WaitWeight},
		{"prefix_weight", s.PrefixWeight},
		{"distance_weight", s.DistanceWeight},
		{"worth_weight", s.WorthWeight},
		{"slack_weight", s.SlackWeight},
		{"attained_weight", s.AttainedWeight},
		{"aging_per_second", s.AgingPerSecond},
	}
	for _, weight := range weights {
		c.numberWithin("scheduling."+weight.name, weight.value, ruleOff, maxWeight)
	}
	c.within("scheduling.max_queue", int64(s.MaxQueue), 0, maxCount)
	c.numberWithin("scheduling.retry_budget", s.RetryBudget, ruleOff, 1)
	c.within("scheduling.engine_max_age_millis", s.EngineMaxAgeMillis, 0, maxDurationMillis)
}

func (c *checker) checkModelPlan() {
	plan := c.bundle.ModelPlan
	c.within("model_plan.max_concurrent_loads", int64(plan.MaxConcurrentLoads), 0, maxCount)
	c.within("model_plan.weight_store_bytes_per_second", plan.WeightStoreBytesPerSecond, 0, maxWeightBytes)
	c.numberWithin("model_plan.scale_up_utilisation", plan.ScaleUpUtilisation, 0, 1)
	c.numberWithin("model_plan.scale_down_utilisation", plan.ScaleDownUtilisation, 0, 1)
	if plan.ScaleUpUtilisation > 0 && plan.ScaleDownUtilisation > plan.ScaleUpUtilisation {
		c.addViolation("model_plan.scale_down_utilisation", "is %v; must not pass scale_up_utilisation, %v",
			plan.ScaleDownUtilisation, plan.ScaleUpUtilisation)
	}
	c.numberWithin("model_plan.scale_up_queue", plan.ScaleUpQueue, 0, maxWeight)
	c.within("model_plan.warm_spares", int64(plan.WarmSpares), ruleOff, maxCount)
	c.within("model_plan.cooldown_millis", plan.CooldownMillis, 0, maxDurationMillis)
	c.within("model_plan.in_use_millis", plan.InUseMillis, 0, maxDurationMillis)
}

func (c *checker) checkRetention() {
	retention := c.bundle.Retention
	c.numberWithin("retention.hold_cost", retention.HoldCost, 0, maxWeight)
	c.numberWithin("retention.low_pressure", retention.LowPressure, 0, maxLowPressure)
}

func (c *checker) checkLimits() {
	limits := c.bundle.Limits
	c.within("limits.max_body_bytes", limits.MaxBodyBytes, 0, maxBodyBytes)
	c.within("limits.max_sequence_ahead", limits.MaxSequenceAhead, 0, maxSequenceAhead)
	c.within("limits.ended_keep_millis", limits.EndedKeepMillis, 0, maxKeepMillis)
}

type namedNumber struct {
	name  string
	value float64
}

func (c *checker) within(path string, value, low, high int64) {
	if value < low || value > high {
		c.addViolation(path, "is %d; must be from %d to %d", value, low, high)
	}
}

func (c *checker) numberWithin(path string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.addViolation(path, "is %v; must be from %v to %v", value, low, high)
	}
}
