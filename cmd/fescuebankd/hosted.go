package main

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/config/loader"
	"fescuebank/internal/entry/relayer"
	"fescuebank/internal/operate/logger"
	"fescuebank/internal/operate/logwriter"
	"fescuebank/internal/operate/meter"
	"fescuebank/internal/operate/server"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/platform/decoder"
	"fescuebank/platform/gateway"
	"fescuebank/platform/marshaler"
	"fescuebank/platform/storer"
)

// memoryShare is the part of the machine's memory that the runtime may use.
const memoryShare = 0.6

// serveHosted runs an instance on a platform that lists the configuration and
// the endpoints itself.
func serveHosted(ctx context.Context, path string, s *fescuebank.Settings, hangups <-chan os.Signal) error {
	if s.Limits.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(fescuebank.Bytes(s.Limits.MemoryMiB)*fescuebank.MiB)))
	}
	clock := timekeeper.Timekeeper{}
	journal := logwriter.New(os.Stdout, clock, logwriter.Rate{Ordinary: s.Log.Ordinary, All: s.Log.Lines}, relayer.IsOrdinary)
	defer journal.Close()
	counts := meter.New()
	counts.Gauge("logLinesLeftOut", func() any { return journal.Dropped() })
	log := logger.Logger{Settings: s.Log, Output: journal}.Open("fescuebank")
	h, err := newHosted(s, clock, counts, log)
	if err != nil {
		return err
	}
	go reloadOnHangup(ctx, path, s, hangups, log.Named("settings"))
	return h.Run(ctx)
}

// newHosted wires an instance to the platform's adapter.
func newHosted(s *fescuebank.Settings, clock fescuebank.Clock, counts *meter.Meter, log hclog.Logger) (*server.Server, error) {
	store := storer.New(s.Platform.URL, clock, counts)
	return server.New(s, server.Platform{
		Store: store, Reconnect: store.Reconnect, OnRecovery: store.OnRecovery, StoreState: store.State,
		ConfigKey: decoder.ConfigKey, ConfigPrefix: decoder.ConfigPrefix, EndpointPrefix: decoder.EndpointPrefix,
		DecodeConfig: decoder.Decoder{}.Config, DecodeEndpoint: decoder.Decoder{}.Endpoint, Protocol: marshaler.Marshaler{},
		RetirementPrefix: decoder.RetirementPrefix,
		SetRetired: func(ctx context.Context, key string, emptied bool) error {
			state := decoder.RetirementRunning
			if emptied {
				state = decoder.RetirementCompleted
			}
			return store.SetStatus(ctx, key, decoder.Retirement{State: state})
		},
		Handlers: func(e server.Entry) server.Handlers { return handlers(e, s) },
	}, clock, counts, log)
}

// reloadOnHangup checks the settings file at each SIGHUP until ctx ends. Settings are
// read at start; a change is told, and takes effect at the next start.
func reloadOnHangup(ctx context.Context, path string, inForce *fescuebank.Settings, hangups <-chan os.Signal, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		read, err := loader.Loader{}.Load(path)
		if err != nil {
			log.Warn("Settings not read again.", "err", err.Error())
			continue
		}
		log.Info("Settings read again.", "changed", *read != *inForce)
	}
}

// handlers returns the callers' side as the platform's callers speak it.
func handlers(e server.Entry, s *fescuebank.Settings) server.Handlers {
	g := gateway.New(gateway.Config{
		Table: e.Table, Relayer: e.Relayer, Admitter: e.Admitter, Batch: e.Batch, Addresses: e.Addresses,
		Ready: e.Ready, Leaving: e.Leaving, AddressTTL: s.Timing.AddressTTL, Clock: e.Clock, Meter: e.Meter, ServiceLevels: e.ServiceLevels, Log: e.Log,
	})
	return server.Handlers{
		Callers: g, Ready: http.HandlerFunc(g.ServeReady), Addresses: http.HandlerFunc(g.ServeAddresses),
	}
}
