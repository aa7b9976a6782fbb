package callers

import "syscall"

// MaxDescriptors returns how many descriptors the system lets this process open; 0 if unknown.
func MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const unlimited = 1 << 30
	return int(min(limit.Cur, unlimited))
}
