//go:build race

package tests

const raceEnabled = true
