package store

import (
	"context"
	"errors"
	"strings"
	"syscall"
)

// background is the context of operations that are not cancelled.
var background = context.Background()

// isLocked reports whether an error means that this or another process holds the store's lock. Another process's lock is
// EAGAIN or EACCES, depending on the system; EACCES is also a missing permission, so the lock file must be named. For a lock
// of this process pebble has no error value, only a text.
func isLocked(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) && strings.Contains(err.Error(), "LOCK") ||
		strings.Contains(err.Error(), "lock held by current process")
}
