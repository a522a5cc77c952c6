package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"fescuebank"
	"fescuebank/internal/config/loader"
	"fescuebank/internal/operate/logger"
	"fescuebank/internal/operate/supervisor"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/certifier"
)

// serveCommand runs an instance.
type serveCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"INI file; see docs/OPERATIONS.md"`
}

func (c *serveCommand) run(ctx context.Context) error {
	// Without a handler SIGHUP would terminate the process, also while it starts or
	// shuts down.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := loader.Loader{}.Load(c.Settings)
	if err != nil {
		return err
	}
	limitHeap(settings.Limits.MemoryMiB)
	if settings.Platform.Kind == fescuebank.PlatformObjects {
		return serveObjectPlatform(ctx, c.Settings, settings, hangups)
	}
	tlsConfig, err := certifier.Load(settings.TLS)
	if err != nil {
		return err
	}
	log := logger.Logger{Settings: settings.Log, Output: os.Stderr}.Open("fescuebank")
	instance, err := supervisor.New(settings, supervisor.Options{TLS: tlsConfig, Clock: timekeeper.Timekeeper{}, Log: log})
	if err != nil {
		return err
	}
	expvar.Publish("fescuebank", expvar.Func(func() any { return instance.Totals() }))
	fmt.Printf("ready %s %s\n", instance.Self().CallerURL, instance.OperatorsURL())
	return instance.Run(ctx)
}

// heapShare is the fraction of the machine's memory, which the settings state, that
// the Go runtime may use.
const heapShare = 0.6

// limitHeap limits the memory of the Go runtime by that of the machine in MiB, 0 if unknown.
func limitHeap(memoryMiB int) {
	if memoryMiB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(fescuebank.Bytes(memoryMiB)*fescuebank.MiB)))
	}
}

// checkCommand validates a settings file.
type checkCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"INI file"`
}

func (c *checkCommand) run(context.Context) error {
	if _, err := (loader.Loader{}).Load(c.Settings); err != nil {
		return err
	}
	fmt.Println("The settings are valid.")
	return nil
}

func exitCode(err error) int {
	var faults *fescuebank.Faults
	if errors.As(err, &faults) {
		return exitSettings
	}
	return exitFailed
}
