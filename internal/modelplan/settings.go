package modelplan

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Defaults of bundle.ModelPlan.
const (
	// DefaultMaxConcurrentLoads is how many engines of a cell may load at the
	// same time.
	DefaultMaxConcurrentLoads = 2
	// DefaultWeightStoreBytesPerSecond is the cell's share of the weight
	// store's rate. The planner starts loads no faster.
	DefaultWeightStoreBytesPerSecond = 1 << 30
	// DefaultScaleUpUtilisation is the fraction of a model's batch slots in
	// use above which it needs another copy.
	DefaultScaleUpUtilisation = 0.7
	// DefaultScaleDownUtilisation is the fraction of batch slots in use that
	// the remaining copies must not exceed after a copy is removed in favour
	// of another model.
	DefaultScaleDownUtilisation = 0.35
	// DefaultScaleUpQueue is how many calls may wait, on average, for each
	// ready copy before the model needs another.
	DefaultScaleUpQueue = 1.0
	// DefaultWarmSpares is how many copies beyond its need a model in use
	// gets, as far as there are free slots.
	DefaultWarmSpares = 1
	// DefaultCooldown is how long after a load of a model none of its copies
	// is removed in favour of another model.
	DefaultCooldown = time.Minute
	// DefaultInUseFor is how long after its last call a model counts as in use.
	DefaultInUseFor = 10 * time.Minute
)

// Fixed parameters.
const (
	// orderTimeout is how long an engine's reports may lag behind an order
	// before the order counts as lost and the fence is raised.
	orderTimeout = 6 * time.Second
	// maxOrderTimeout bounds the doubling of orderTimeout for engines that
	// never respond.
	maxOrderTimeout = 2 * time.Minute
	// syncTimeout is how long a new planner waits for all engines to be in
	// sync before it sends its first orders to those that are.
	syncTimeout = 15 * time.Second
	// exchangeMargin is the factor by which the load per copy of a model that
	// receives a slot must exceed that of the model that loses a needed
	// copy.
	exchangeMargin = 1.25
	// maxLead bounds how far ahead demand is predicted.
	maxLead = time.Minute
	// defaultBatchSlots is the assumed batch size of engines that do not
	// report theirs.
	defaultBatchSlots = 8
)

// Settings is bundle.ModelPlan with defaults filled in.
type Settings struct {
	MaxConcurrentLoads   int
	BytesPerSecond       float64
	ScaleUpUtilisation   float64
	ScaleDownUtilisation float64
	ScaleUpQueue         float64
	WarmSpares           int
	Cooldown             time.Duration
	InUseFor             time.Duration
}

// Resolve returns the settings of a configuration, with defaults filled in.
func Resolve(configured bundle.ModelPlan) Settings {
	settings := Settings{
		MaxConcurrentLoads:   valueOr(configured.MaxConcurrentLoads, DefaultMaxConcurrentLoads),
		BytesPerSecond:       float64(valueOr(configured.WeightStoreBytesPerSecond, DefaultWeightStoreBytesPerSecond)),
		ScaleUpUtilisation:   valueOr(configured.ScaleUpUtilisation, DefaultScaleUpUtilisation),
		ScaleDownUtilisation: valueOr(configured.ScaleDownUtilisation, DefaultScaleDownUtilisation),
		ScaleUpQueue:         valueOr(configured.ScaleUpQueue, DefaultScaleUpQueue),
		WarmSpares:           max(0, valueOr(configured.WarmSpares, DefaultWarmSpares)),
		Cooldown:             valueOr(time.Duration(configured.CooldownMillis)*time.Millisecond, DefaultCooldown),
		InUseFor:             valueOr(time.Duration(configured.InUseMillis)*time.Millisecond, DefaultInUseFor),
	}
	settings.ScaleDownUtilisation = min(settings.ScaleDownUtilisation, settings.ScaleUpUtilisation)
	return settings
}

func valueOr[T comparable](configured, fallback T) T {
	var zero T
	if configured == zero {
		return fallback
	}
	return configured
}
