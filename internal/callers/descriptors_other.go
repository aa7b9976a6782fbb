//go:build !linux

package callers

// MaxDescriptors returns how many descriptors the system lets this process open; 0 if unknown.
func MaxDescriptors() int { return 0 }
