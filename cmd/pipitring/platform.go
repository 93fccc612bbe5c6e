package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"pipitring/internal/config"
	"pipitring/internal/platform"
	"pipitring/internal/runtime"
)

const platformLinesPerSecond = 20 // of one kind: the log costs the proxy's own core

func platformCommand() *cobra.Command {
	var trace bool
	c := &cobra.Command{Use: "platform", Short: "Run as a signalling proxy of the users' platform, told by NODE_CONFIG",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return servePlatform(cmd.Context(), trace) }}
	c.Flags().BoolVar(&trace, "trace", false, "write all that crosses the sockets to standard error")
	return c
}

const traced = 1000 // bytes of one piece that a trace shows

// writeTrace writes what happened on a socket: seconds since the start, connection, what, bytes.
func writeTrace(at time.Duration, id platform.ConnID, what string, b []byte) {
	fmt.Fprintf(os.Stderr, "%.6f %d %s %q\n", at.Seconds(), id, what, b[:min(len(b), traced)])
}

// servePlatform runs one proxy: SIGTERM lets it end once nothing is open, SIGHUP rereads the configuration.
func servePlatform(ctx context.Context, trace bool) error {
	var each runtime.TraceFunc
	if trace {
		each = writeTrace
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	file := os.Getenv("NODE_CONFIG")
	if file == "" {
		return errors.New("NODE_CONFIG names no file")
	}
	cfg, err := runtime.LoadPlatformConfig(file)
	if err != nil {
		return err
	}
	log, err := runtime.NewLogger(config.Log{Level: "info", PerSecond: platformLinesPerSecond})
	if err != nil {
		return err
	}
	runtime.SetLimits(cfg)
	p, err := runtime.StartPlatform(cfg, log, each)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	for {
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
			log.Info("told to end: tests fail from now, what comes is still served")
			p.Execute(func(core *platform.Core, now time.Duration) { core.Stop(now) })
			ctx = context.Background()
		case <-hup:
			next, err := runtime.LoadPlatformConfig(file)
			if err != nil {
				log.Error("configuration not reread: the old one stays", zap.Error(err))
				continue
			}
			p.Execute(func(core *platform.Core, now time.Duration) { core.SetCoordinator(now, next.Coordinator) })
		}
	}
}
