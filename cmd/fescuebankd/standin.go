package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/echoserver"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/standin/objectserver"
	"fescuebank/internal/standin/weightserver"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/certifier"
)

// standinCommand runs an emulated dependency in its own process: the platform, a
// model engine, a service or the weight store.
type standinCommand struct {
	Platform *standinPlatform `arg:"subcommand:platform" help:"the object API and the list of instances"`
	Engine   *standinEngine   `arg:"subcommand:engine" help:"a model engine"`
	Service  *standinAddress  `arg:"subcommand:service" help:"a plain service"`
	Weights  *standinAddress  `arg:"subcommand:weights" help:"the weight store"`
}

// standinAddress holds the listen address of a stand-in.
type standinAddress struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" placeholder:"IP:PORT"`
}

type standinPlatform struct {
	standinAddress
	State string `arg:"--state" placeholder:"FILE" help:"keep the objects in this file"`
}

type standinEngine struct {
	standinAddress
	ID      string `arg:"--id" default:"worker"`
	Model   string `arg:"--model" default:"almanac-llm"`
	Slots   int    `arg:"--slots" default:"16"`
	Fenced  bool   `arg:"--fenced" help:"refuse orders with an old fencing number"`
	Weights string `arg:"--weights" placeholder:"URL" help:"weight store that models are loaded from"`
}

// weightFetchesPerSecond is the number of weight fetches that may start per second.
const weightFetchesPerSecond = 2

func (c *standinCommand) run(ctx context.Context) error {
	clock := timekeeper.Timekeeper{}
	switch {
	case c.Platform != nil:
		return c.Platform.run(ctx, clock)
	case c.Engine != nil:
		return c.Engine.run(ctx, clock)
	case c.Service != nil:
		return serveHandler(ctx, c.Service.Listen, echoserver.New().Handler())
	case c.Weights != nil:
		return serveHandler(ctx, c.Weights.Listen, weightserver.New(weightFetchesPerSecond, time.Second, clock).Handler())
	}
	return fmt.Errorf("missing subcommand: platform, engine, service or weights")
}

func (c *standinPlatform) run(ctx context.Context, clock fescuebank.Clock) error {
	p := objectserver.New(clock)
	if c.State == "" {
		return serveHandler(ctx, c.Listen, p.Handler())
	}
	if err := p.Load(c.State); err != nil {
		return err
	}
	if err := serveHandler(ctx, c.Listen, p.Handler()); err != nil {
		return err
	}
	return p.Save(c.State)
}

func (c *standinEngine) run(ctx context.Context, clock fescuebank.Clock) error {
	e := emulator.New(emulator.Config{
		ID: fescuebank.EndpointID(c.ID), Models: []fescuebank.ModelName{fescuebank.ModelName(c.Model)},
		Slots: c.Slots, CheckFencing: c.Fenced, WeightsURL: c.Weights,
	}, clock)
	addr, _, err := e.Serve(ctx, c.Listen)
	if err != nil {
		return err
	}
	fmt.Printf("ready http://%s\n", addr)
	<-ctx.Done()
	return nil
}

// serveHandler prints the ready line with its address and serves until ctx ends.
func serveHandler(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Printf("ready http://%s\n", l.Addr())
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// certifyCommand creates a certificate authority and a certificate signed by it.
type certifyCommand struct {
	Folder string   `arg:"--folder,required" help:"where to write ca.pem, cert.pem and key.pem"`
	IP     []string `arg:"--ip" help:"addresses that the certificate is good for"`
}

func (c *certifyCommand) run(context.Context) error {
	authority, err := certifier.New(timekeeper.Timekeeper{})
	if err != nil {
		return err
	}
	var ips []net.IP
	for _, text := range c.IP {
		ip := net.ParseIP(text)
		if ip == nil {
			return fmt.Errorf("invalid IP address %q", text)
		}
		ips = append(ips, ip)
	}
	cert, key, err := authority.Issue(ips...)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return err
	}
	files := []struct {
		name    string
		content []byte
	}{{"ca.pem", authority.Authority()}, {"cert.pem", cert}, {"key.pem", key}}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(c.Folder, f.name), f.content, 0o600); err != nil {
			return err
		}
	}
	return nil
}
