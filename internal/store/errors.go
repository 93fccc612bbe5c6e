package store

import (
	"context"
	"errors"
	"strings"
	"syscall"
)

var background = context.Background()

// isLocked reports whether an error means that this or another process holds the store's lock.
func isLocked(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) && strings.Contains(err.Error(), "LOCK") ||
		strings.Contains(err.Error(), "lock held by current process")
}
