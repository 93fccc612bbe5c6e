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

// platformLogLinesPerSecond limits the lines with the same message: logging takes time from the proxy's only core.
const platformLogLinesPerSecond = 20

func platformCommand() *cobra.Command {
	var trace bool
	c := &cobra.Command{Use: "platform", Short: "Run as a signalling proxy of the users' platform, configured by the file in NODE_CONFIG",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return servePlatform(cmd.Context(), trace) }}
	c.Flags().BoolVar(&trace, "trace", false, "write all socket traffic to standard error")
	return c
}

// maxTracedBytes is the largest number of bytes shown of one read or write.
const maxTracedBytes = 1000

// writeTrace writes a socket event to standard error: seconds since the start, connection, event, bytes.
func writeTrace(at time.Duration, id platform.ConnID, event string, b []byte) {
	fmt.Fprintf(os.Stderr, "%.6f %d %s %q\n", at.Seconds(), id, event, b[:min(len(b), maxTracedBytes)])
}

// servePlatform runs one proxy. SIGTERM and SIGINT shut it down once no calls are open. SIGHUP reloads the
// configuration, of which only the coordinator's address applies to a running proxy.
func servePlatform(ctx context.Context, trace bool) error {
	var traceFunc runtime.TraceFunc
	if trace {
		traceFunc = writeTrace
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	file := os.Getenv("NODE_CONFIG")
	if file == "" {
		return errors.New("NODE_CONFIG is not set")
	}
	cfg, err := runtime.LoadPlatformConfig(file)
	if err != nil {
		return err
	}
	log, err := runtime.NewLogger(config.Log{Level: "info", PerSecond: platformLogLinesPerSecond})
	if err != nil {
		return err
	}
	runtime.SetLimits(cfg)
	p, err := runtime.StartPlatform(cfg, log, traceFunc)
	if err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- p.Wait() }()
	for {
		select {
		case err := <-exited:
			return err
		case <-ctx.Done():
			log.Info("shutting down: heartbeats fail from now on, calls are still served")
			p.Execute(func(core *platform.Core, now time.Duration) { core.Shutdown(now) })
			ctx = context.Background() // so that this case is not selected again
		case <-hup:
			next, err := runtime.LoadPlatformConfig(file)
			if err != nil {
				log.Error("configuration reload failed, keeping the old one", zap.Error(err))
				continue
			}
			p.Execute(func(core *platform.Core, now time.Duration) { core.SetCoordinator(now, next.Coordinator) })
		}
	}
}
