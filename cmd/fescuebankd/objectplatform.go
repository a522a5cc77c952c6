package main

import (
	"context"
	"net"
	"net/http"
	"os"

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

// serveObjectPlatform runs an instance on a platform whose object store holds the
// configuration and the endpoints.
func serveObjectPlatform(ctx context.Context, path string, s *fescuebank.Settings, hangups <-chan os.Signal) error {
	clock := timekeeper.Timekeeper{}
	output := logwriter.New(os.Stdout, clock, logwriter.Rate{Ordinary: s.Log.Ordinary, All: s.Log.Lines}, relayer.IsOrdinary)
	defer output.Close()
	metrics := meter.New()
	metrics.Gauge("logLinesLeftOut", func() any { return output.Dropped() })
	log := logger.Logger{Settings: s.Log, Output: output}.Open("fescuebank")
	instance, err := newObjectPlatformServer(s, endpointConnector(path), clock, metrics, log)
	if err != nil {
		return err
	}
	go validateOnHangup(ctx, path, s, hangups, log.Named("settings"))
	return instance.Run(ctx)
}

// connectFunc opens a connection to the endpoint at an address.
type connectFunc func(ctx context.Context, addr string) (net.Conn, error)

// newObjectPlatformServer returns an instance connected through the platform's
// adapter.
func newObjectPlatformServer(s *fescuebank.Settings, connect connectFunc, clock fescuebank.Clock, metrics *meter.Meter, log hclog.Logger) (*server.Server, error) {
	store := storer.New(s.Platform.URL, clock, metrics)
	return server.New(s, server.Platform{
		ConnectEndpoint: connect,
		Store:           store, Reconnect: store.Reconnect, OnRecovery: store.OnRecovery, StoreState: store.State,
		ConfigKey: decoder.ConfigKey, ConfigPrefix: decoder.ConfigPrefix, EndpointPrefix: decoder.EndpointPrefix,
		DecodeConfig: decoder.Decoder{}.Config, DecodeEndpoint: decoder.Decoder{}.Endpoint, Protocol: marshaler.Marshaler{},
		EvacuationPrefix: decoder.EvacuationPrefix, DecodeEvacuation: decoder.Decoder{}.Evacuation,
		RetirementPrefix: decoder.RetirementPrefix,
		SetRetired: func(ctx context.Context, key string, completed bool) error {
			state := decoder.RetirementRunning
			if completed {
				state = decoder.RetirementCompleted
			}
			return store.SetStatus(ctx, key, decoder.Retirement{State: state})
		},
		Handlers: func(e server.Entry) server.Handlers { return newHandlers(e, s) },
	}, clock, metrics, log)
}

// validateOnHangup validates the settings file at each SIGHUP until ctx ends and logs
// whether it differs from the settings in use. A change takes effect at the next
// start only.
func validateOnHangup(ctx context.Context, path string, current *fescuebank.Settings, hangups <-chan os.Signal, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := loader.Loader{}.Load(path)
		if err != nil {
			log.Warn("Settings file not loaded; the current settings stay in use.", "err", err.Error())
			continue
		}
		log.Info("Settings file is valid; changes take effect at the next start.", "changed", *settings != *current)
	}
}

// newHandlers returns the HTTP handlers of the platform's caller-facing API.
func newHandlers(e server.Entry, s *fescuebank.Settings) server.Handlers {
	handler := gateway.New(gateway.Config{
		Table: e.Table, Relayer: e.Relayer, Admitter: e.Admitter, Batch: e.Batch, Memory: e.Memory, Addresses: e.Addresses,
		Ready: e.Ready, Leaving: e.Leaving, Closed: e.Closed, AddressTTL: s.Timing.AddressTTL, Clock: e.Clock, Meter: e.Meter, ServiceLevels: e.ServiceLevels, Log: e.Log,
	})
	return server.Handlers{
		Callers: handler, Ready: http.HandlerFunc(handler.ServeReady), Addresses: http.HandlerFunc(handler.ServeAddresses),
	}
}
