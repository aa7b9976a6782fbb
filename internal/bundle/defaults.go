package bundle

import "slices"

// Defaults that Compile fills in for zero values.
const (
	DefaultTenantWeight      = 1.0
	DefaultToolTimeoutMillis = 30_000
	DefaultWeightBytes       = 16 << 30
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxSequenceAhead  = 16
	DefaultEndedKeepMillis   = 30 * 24 * 60 * 60_000
)

// withDefaults returns a copy with the defaults filled in. Digests and sign-offs cover the bundle as
// declared, without defaults.
func withDefaults(declared *Bundle) *Bundle {
	filled := *declared
	filled.Tenants = slices.Clone(declared.Tenants)
	for index := range filled.Tenants {
		setDefault(&filled.Tenants[index].Weight, DefaultTenantWeight)
	}
	filled.Tools = slices.Clone(declared.Tools)
	for index := range filled.Tools {
		setDefault(&filled.Tools[index].TimeoutMillis, DefaultToolTimeoutMillis)
	}
	filled.Models = slices.Clone(declared.Models)
	for index := range filled.Models {
		setDefault(&filled.Models[index].WeightBytes, DefaultWeightBytes)
	}
	setDefault(&filled.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&filled.Limits.MaxSequenceAhead, DefaultMaxSequenceAhead)
	setDefault(&filled.Limits.EndedKeepMillis, DefaultEndedKeepMillis)
	return &filled
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
