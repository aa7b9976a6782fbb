//go:build race

package virtualtime

const raceEnabled = true
