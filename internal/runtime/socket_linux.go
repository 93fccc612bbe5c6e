package runtime

import "golang.org/x/sys/unix"

// hasClosed reports whether the peer has closed a connection or its sending side, though bytes may still be unread.
func hasClosed(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0
}

// unreadBytes returns how many bytes the kernel has received on a connection that have not been read; 0 if unknown.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}
