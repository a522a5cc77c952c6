package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"fescuebank"
	"fescuebank/internal/operate/logger"
	"fescuebank/internal/standin/deployer"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/timing/timekeeper"
)

// demoCommand runs a complete deployment in one process.
type demoCommand struct {
	Listen    string `arg:"--listen" default:"127.0.0.1:8080" placeholder:"IP:PORT" help:"callers' address of the first instance; port 0 takes a free one"`
	State     string `arg:"--state" placeholder:"FOLDER" help:"keep keys, certificate and the platform's objects here"`
	Instances int    `arg:"--instances" default:"3" help:"number of entry instances"`
	Engines   int    `arg:"--engines" default:"4" help:"number of emulated engines"`
	Log       string `arg:"--log" default:"warn" help:"trace, debug, info, warn or error"`
}

// demoModel is the model that the demo serves.
const demoModel = "almanac-llm"

func (c *demoCommand) run(ctx context.Context) error {
	log := logger.Logger{Settings: fescuebank.LogSettings{Level: c.Log}, Output: os.Stderr}.Open("fescuebank")
	s, err := deployer.New(ctx, deployer.Config{
		Zones: []fescuebank.Zone{"zone-a", "zone-b", "zone-c"}, Instances: c.Instances, Engines: c.Engines,
		Engine: emulator.Config{}, Model: demoModel,
		Teams: []fescuebank.Team{
			{ID: "parishes", Rate: 50, Burst: 100, Weight: 1},
			{ID: "harbours", Rate: 50, Burst: 100, Weight: 1},
		},
		Listen: c.Listen, Folder: c.State, Clock: timekeeper.Timekeeper{}, Log: log,
	})
	if err != nil {
		return err
	}
	c.printInstructions(s)
	<-ctx.Done()
	s.Wait()
	return nil
}

// printInstructions prints example commands, then the ready line.
func (c *demoCommand) printInstructions(s *deployer.Deployer) {
	firstInstance := s.Instances[0]
	callerURL := firstInstance.Self().CallerURL
	key := s.Keys["parishes"]
	fmt.Printf("Keys: parishes %s, harbours %s\n", key, s.Keys["harbours"])
	fmt.Printf("Operators: %s user %s password %s\n\n", firstInstance.OperatorsURL(), s.Operator, s.Password)
	fmt.Printf("Which instances to use:\n  curl -s %s/v1/instances -H 'Authorization: Bearer %s'\n", callerURL, key)
	fmt.Printf("A streamed answer:\n  curl -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n", callerURL, key,
		`{"model":"almanac-llm","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"When is the next feast?"}]}`)
	fmt.Printf("A batch job:\n  go run ./cmd/fescuectl batch submit --server %s --key %s items.jsonl\n", callerURL, key)
	fmt.Printf("The state of the fleet:\n  go run ./cmd/fescuectl instances --operators %s --user %s --password %s --insecure\n\n", firstInstance.OperatorsURL(), s.Operator, s.Password)
	var addresses []string
	for _, instance := range s.Instances {
		addresses = append(addresses, instance.Self().CallerURL)
	}
	fmt.Printf("ready %s\n", strings.Join(addresses, " "))
}
