package lab

import (
	"context"
	"io"
)

// KillOptions are how real processes are killed.
type KillOptions struct {
	Kills    int
	Seed     uint64
	Progress io.Writer
}

// KillResult is what was found after the kills.
type KillResult struct{}

// Good tells whether nothing was lost or doubled.
func (r *KillResult) Good() bool { return true }

// Kill is yet to come.
func Kill(context.Context, KillOptions) (*KillResult, error) { return &KillResult{}, nil }
