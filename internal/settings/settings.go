// Package settings reads the settings that a node needs at its start: its name, cell, zone and addresses, and
// how to reach its peers and the platform. All other configuration is in the bundle. The package has no
// dependencies inside the project.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"
)

// Defaults of optional settings.
const (
	DefaultLogLevel     = "info"
	DefaultDrainTimeout = 60 * time.Second
)

// Settings are the settings that one node needs to start. A Settings is a plain value; it is not changed after
// the node has started.
type Settings struct {
	Name            string        // unique among all nodes
	Cell            string        // cell of the bundle that the node belongs to
	Zone            string        // zone of the bundle that the node runs in
	CallerAddress   string        // IP:port for callers' HTTP
	OperatorAddress string        // IP:port for operators' HTTP
	PeerAddress     string        // IP:port for other nodes; they must be able to reach it
	Seeds           []string      // peer addresses through which the node joins; may include its own
	PlatformURL     string        // base URL of the platform's services
	ClusterKey      string        // shared secret of all nodes
	LogLevel        string        // debug, info, warn, error
	DrainTimeout    time.Duration // maximum duration of a planned stop; requests that remain then are aborted
	MemoryMB        int           // memory of the machine, in MiB; 0 if unknown
}

// file is the YAML form of Settings.
type file struct {
	Name            string   `json:"name"`
	Cell            string   `json:"cell"`
	Zone            string   `json:"zone"`
	CallerAddress   string   `json:"caller_address"`
	OperatorAddress string   `json:"operator_address"`
	PeerAddress     string   `json:"peer_address"`
	Seeds           []string `json:"seeds"`
	PlatformURL     string   `json:"platform_url"`
	ClusterKey      string   `json:"cluster_key"`
	LogLevel        string   `json:"log_level"`
	DrainTimeout    string   `json:"drain_timeout"` // in the format of time.ParseDuration
	MemoryMB        int      `json:"memory_mb"`
}

// Read reads a settings file. See Decode for what it accepts.
func Read(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	decoded, err := Decode(source)
	return decoded, errors.Wrapf(err, "settings file %s", path)
}

// Decode decodes YAML settings strictly: an unknown or repeated key is an error. It does not check values, because
// flags may still override them.
func Decode(source []byte) (Settings, error) {
	var decoded file
	if err := yaml.UnmarshalStrict(source, &decoded); err != nil {
		return Settings{}, errors.Wrap(err, "decode settings")
	}
	var drainTimeout time.Duration
	if decoded.DrainTimeout != "" {
		var err error
		drainTimeout, err = time.ParseDuration(decoded.DrainTimeout)
		if err != nil {
			return Settings{}, errors.Newf("drain_timeout: %q is not a duration such as 60s", decoded.DrainTimeout)
		}
	}
	return Settings{
		Name:            decoded.Name,
		Cell:            decoded.Cell,
		Zone:            decoded.Zone,
		CallerAddress:   decoded.CallerAddress,
		OperatorAddress: decoded.OperatorAddress,
		PeerAddress:     decoded.PeerAddress,
		Seeds:           decoded.Seeds,
		PlatformURL:     decoded.PlatformURL,
		ClusterKey:      decoded.ClusterKey,
		LogLevel:        decoded.LogLevel,
		DrainTimeout:    drainTimeout,
		MemoryMB:        decoded.MemoryMB,
	}, nil
}

// Override returns a copy of s in which every non-zero field of flags replaces that of s.
func (s Settings) Override(flags Settings) Settings {
	replace(&s.Name, flags.Name)
	replace(&s.Cell, flags.Cell)
	replace(&s.Zone, flags.Zone)
	replace(&s.CallerAddress, flags.CallerAddress)
	replace(&s.OperatorAddress, flags.OperatorAddress)
	replace(&s.PeerAddress, flags.PeerAddress)
	replace(&s.PlatformURL, flags.PlatformURL)
	replace(&s.ClusterKey, flags.ClusterKey)
	replace(&s.LogLevel, flags.LogLevel)
	replace(&s.DrainTimeout, flags.DrainTimeout)
	replace(&s.MemoryMB, flags.MemoryMB)
	if len(flags.Seeds) > 0 {
		s.Seeds = flags.Seeds
	}
	return s
}

// WithDefaults returns a copy of s with defaults for the settings that are not set.
func (s Settings) WithDefaults() Settings {
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = DefaultDrainTimeout
	}
	return s
}

// replace sets target to value unless value is zero.
func replace[T comparable](target *T, value T) {
	var zero T
	if value != zero {
		*target = value
	}
}
