package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fescuebank"
	"fescuebank/internal/operate/meter"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/platform/decoder"
	"fescuebank/platform/storer"
)

// evacuationCommand requests, lists and removes evacuations of availability zones.
type evacuationCommand struct {
	Store   string                    `arg:"--store,env:FESCUEBANK_STORE" placeholder:"URL" help:"the platform's store"`
	Request *requestEvacuationCommand `arg:"subcommand:request" help:"send nothing more to the endpoints of a zone"`
	Remove  *removeEvacuationCommand  `arg:"subcommand:remove" help:"end the evacuation of a zone"`
	List    *listEvacuationsCommand   `arg:"subcommand:list" help:"list the evacuations, and with --metrics who has applied them"`
}

// errNoStore means that the command needs the address of the store.
var errNoStore = errors.New("--store is required")

func (e *evacuationCommand) run(ctx context.Context, c *client) error {
	if e.Store == "" && (e.List == nil || e.List.Metrics == "") {
		return errNoStore
	}
	store := storer.New(e.Store, timekeeper.Timekeeper{}, meter.New())
	switch {
	case e.Request != nil:
		return e.Request.run(ctx, c, store)
	case e.Remove != nil:
		return e.Remove.run(ctx, c, store)
	case e.List != nil:
		return e.List.run(ctx, c, store)
	}
	return errors.New("missing subcommand: request, remove or list")
}

// requestEvacuationCommand requests an evacuation. It does nothing if one is requested already.
type requestEvacuationCommand struct {
	Zone fescuebank.Zone `arg:"positional,required"`
}

func (r *requestEvacuationCommand) run(ctx context.Context, c *client, store fescuebank.ObjectStore) error {
	version, err := store.Put(ctx, decoder.EvacuationPrefix+string(r.Zone), []byte("{}"), fescuebank.Absent)
	if errors.Is(err, fescuebank.ErrVersion) {
		o, err := store.Get(ctx, decoder.EvacuationPrefix+string(r.Zone))
		if err != nil {
			return err
		}
		return c.print(decoder.Decoder{}.Evacuation(o), func(w io.Writer) { fmt.Fprintf(w, "Zone %s is evacuated already.\n", r.Zone) })
	}
	if err != nil {
		return err
	}
	return c.print(fescuebank.Evacuation{Zone: r.Zone, Version: version}, func(w io.Writer) {
		fmt.Fprintf(w, "Evacuation of zone %s requested at version %d.\n", r.Zone, version)
	})
}

// removeEvacuationCommand ends an evacuation.
type removeEvacuationCommand struct {
	Zone fescuebank.Zone `arg:"positional,required"`
}

func (r *removeEvacuationCommand) run(ctx context.Context, c *client, store fescuebank.ObjectStore) error {
	key := decoder.EvacuationPrefix + string(r.Zone)
	o, err := store.Get(ctx, key)
	if err == nil {
		err = store.Delete(ctx, key, o.Version)
	}
	if errors.Is(err, fescuebank.ErrAbsent) {
		return &responseError{status: http.StatusNotFound, message: fmt.Sprintf("zone %s is not evacuated", r.Zone)}
	}
	if err != nil {
		return err
	}
	return c.print(decoder.Decoder{}.Evacuation(o), func(w io.Writer) { fmt.Fprintf(w, "Evacuation of zone %s removed.\n", r.Zone) })
}

// listEvacuationsCommand lists the evacuations as the store holds them, or as an instance applies them.
type listEvacuationsCommand struct {
	Metrics string `arg:"--metrics" placeholder:"HOST:PORT" help:"metrics address of any instance: what it applies, and which others do"`
}

func (l *listEvacuationsCommand) run(ctx context.Context, c *client, store fescuebank.ObjectStore) error {
	if l.Metrics != "" {
		return l.listApplied(ctx, c)
	}
	objects, _, err := store.List(ctx, decoder.EvacuationPrefix)
	if err != nil {
		return err
	}
	list := make([]fescuebank.Evacuation, 0, len(objects))
	for _, o := range objects {
		list = append(list, decoder.Decoder{}.Evacuation(o))
	}
	slices.SortFunc(list, func(a, b fescuebank.Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return c.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tVERSION")
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%d\n", v.Zone, v.Version)
		}
	})
}

// listApplied lists what one instance applies, and which others do.
func (l *listEvacuationsCommand) listApplied(ctx context.Context, c *client) error {
	var status fescuebank.EvacuationStatus
	if err := c.metrics(ctx, l.Metrics, "/evacuations", &status); err != nil {
		return err
	}
	return c.print(status, func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tVERSION\tAPPLIED\tIN FLIGHT")
		for _, z := range status.Zones {
			applied := (time.Duration(z.AppliedMsAgo) * time.Millisecond).Round(time.Second)
			fmt.Fprintf(w, "%s\t%d\t%s ago\t%d\n", z.Zone, z.Version, applied, z.InFlight)
		}
		fmt.Fprintf(w, "As instance %s sees it. %d instances apply the newest change.\n", status.Instance, status.Applied)
		if !status.Known {
			fmt.Fprintln(w, "The instance doesn't know yet which zones are evacuated, and sends nothing.")
		}
		if len(status.Behind) > 0 {
			fmt.Fprintf(w, "Not yet, or not known: %s.\n", joinIDs(status.Behind))
		}
	})
}

func joinIDs(ids []fescuebank.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}

// metrics reads a JSON document from the metrics address of an instance.
func (c *client) metrics(ctx context.Context, addr, path string, reply any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("metrics address responded with status %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}
