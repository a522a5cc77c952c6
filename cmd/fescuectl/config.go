package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"fescuebank"
	"fescuebank/internal/operate/administrator"
)

// applyCommand applies a desired-state document.
type applyCommand struct {
	File        string        `arg:"positional,required" help:"JSON document, or - for standard input"`
	OntoCurrent bool          `arg:"--onto-current" help:"apply over whatever generation is in force"`
	Wait        time.Duration `arg:"--wait" default:"30s" help:"how long to wait until all instances have it; 0 does not wait"`
}

func (a *applyCommand) run(ctx context.Context, c *client) error {
	text, err := readDocument(a.File)
	if err != nil {
		return err
	}
	d, err := fescuebank.ParseDesiredState(text)
	if err != nil {
		return &responseError{status: http.StatusUnprocessableEntity, message: "the document is invalid\n" + err.Error()}
	}
	if a.OntoCurrent {
		var current fescuebank.DesiredState
		if err := c.operator(ctx, http.MethodGet, "/api/config", nil, &current); err != nil {
			return err
		}
		d.Generation = current.Generation
	}
	var applied administrator.ApplyResponse
	if err := c.operator(ctx, http.MethodPut, "/api/config", d, &applied); err != nil {
		return err
	}
	if err := c.awaitGeneration(ctx, applied.Generation, a.Wait); err != nil {
		return err
	}
	return c.print(applied, func(w io.Writer) { fmt.Fprintf(w, "Generation %d is in force.\n", applied.Generation) })
}

func readDocument(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// awaitGeneration prints progress until every instance that responds has applied g. It
// fails after timeout; with a timeout of 0 it returns at once.
func (c *client) awaitGeneration(ctx context.Context, g fescuebank.Generation, timeout time.Duration) error {
	const interval = 300 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for timeout > 0 {
		var status administrator.StatusResponse
		if err := c.operator(ctx, http.MethodGet, "/api/status", nil, &status); err != nil {
			return err
		}
		applied := 0
		for _, i := range status.Instances {
			if i.Generation >= g {
				applied++
			}
		}
		fmt.Fprintf(os.Stderr, "\rGeneration %d: %d of %d instances", g, applied, len(status.Instances)+len(status.Missing))
		if applied == len(status.Instances) {
			fmt.Fprintln(os.Stderr)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("generation %d was accepted, but not all instances have applied it yet", g)
		}
		time.Sleep(interval)
	}
	return nil
}

// getCommand prints the desired state.
type getCommand struct {
	Config *struct{} `arg:"subcommand:config" help:"print the whole document, as apply takes it"`
}

func (g *getCommand) run(ctx context.Context, c *client) error {
	var d fescuebank.DesiredState
	if err := c.operator(ctx, http.MethodGet, "/api/config", nil, &d); err != nil {
		return err
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(d)
}

// teamCommand prints one team.
type teamCommand struct {
	ID string `arg:"positional,required"`
}

func (t *teamCommand) run(ctx context.Context, c *client) error {
	var team fescuebank.Team
	if err := c.operator(ctx, http.MethodGet, "/api/teams/"+t.ID, nil, &team); err != nil {
		return err
	}
	return c.print(team, func(w io.Writer) {
		fmt.Fprintf(w, "team\t%s\nrate\t%g requests/s\nburst\t%g requests\nweight\t%g\n", team.ID, team.Rate, team.Burst, team.Weight)
		for _, k := range team.Keys {
			fmt.Fprintf(w, "key\t%s\t%s\n", k.Hash.String()[:12], k.Label)
		}
	})
}

// keyCommand grants and withdraws the keys of teams.
type keyCommand struct {
	Grant    *grantCommand    `arg:"subcommand:grant" help:"make a key for a team; it is shown once"`
	Withdraw *withdrawCommand `arg:"subcommand:withdraw" help:"take a key out of force everywhere"`
}

type grantCommand struct {
	Team  string `arg:"positional,required"`
	Label string `arg:"--label" help:"what the key is for"`
}

type withdrawCommand struct {
	Key string `arg:"positional,required" help:"the key, its hash, or eight or more digits of its hash"`
}

func (k *keyCommand) run(ctx context.Context, c *client) error {
	switch {
	case k.Grant != nil:
		return k.Grant.run(ctx, c)
	case k.Withdraw != nil:
		return k.Withdraw.run(ctx, c)
	}
	return fmt.Errorf("missing subcommand: grant or withdraw")
}

func (g *grantCommand) run(ctx context.Context, c *client) error {
	var granted administrator.GrantResponse
	request := administrator.GrantRequest{Label: g.Label}
	if err := c.operator(ctx, http.MethodPost, "/api/teams/"+g.Team+"/keys", request, &granted); err != nil {
		return err
	}
	return c.print(granted, func(w io.Writer) { fmt.Fprintln(w, granted.Key) })
}

func (k *withdrawCommand) run(ctx context.Context, c *client) error {
	request := administrator.WithdrawRequest{Hash: k.Key}
	if len(k.Key) > 3 && k.Key[:3] == "fb-" {
		request = administrator.WithdrawRequest{Key: k.Key}
	}
	var withdrawn administrator.WithdrawResponse
	if err := c.operator(ctx, http.MethodPost, "/api/withdrawals", request, &withdrawn); err != nil {
		return err
	}
	return c.print(withdrawn, func(w io.Writer) {
		fmt.Fprintf(w, "Key %s is withdrawn.\n", withdrawn.Hash.String()[:12])
		if !withdrawn.Stored {
			fmt.Fprintln(w, "The store is down; the instances know and will store it.")
		}
	})
}
