package manager_test

import (
	"context"
	"sync"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// configKey is the key of the configuration in the store.
const configKey = "config/main"

// configReplica is what a manager has read of the configuration.
type configReplica struct {
	table *fescuebank.RouteTable
	// asOf is the store version up to which the table is current.
	asOf fescuebank.StoreVersion
}

// configuration is the operators' configuration in the store, and each manager's replica of it.
type configuration struct {
	store *memorystorer.MemoryStorer

	mu       sync.Mutex
	newest   configReplica
	replicas [2]configReplica
	// unreadable keeps the managers from reading the configuration when they ask for it.
	unreadable bool
}

// put stores a new version of the configuration. It does nothing while the store is down.
func (c *configuration) put(routes []fescuebank.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, _ := c.store.Get(context.Background(), configKey)
	if _, err := c.store.Put(context.Background(), configKey, nil, o.Version); err != nil && err != fescuebank.ErrOutcomeUnknown {
		return
	}
	t := &fescuebank.RouteTable{Version: 1, Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{team: {ID: team}}}
	if c.newest.table != nil {
		t.Version = c.newest.table.Version + 1
	}
	t.SetRoutes(routes)
	c.newest.table = t
}

// read makes a manager read the newest version, unless the store is down.
func (c *configuration) read(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, at, err := c.store.List(context.Background(), configKey)
	if err == nil {
		c.replicas[i] = configReplica{table: c.newest.table, asOf: at}
	}
}

// refresh is a manager's request to read the configuration.
func (c *configuration) refresh(i int) {
	c.mu.Lock()
	unreadable := c.unreadable
	c.mu.Unlock()
	if !unreadable {
		c.read(i)
	}
}

// setUnreadable sets whether the managers can't read the configuration when they ask for it.
func (c *configuration) setUnreadable(unreadable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadable = unreadable
}

func (c *configuration) replica(i int) configReplica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[i]
}

// newestVersion returns the version that was stored last, 0 if there is none.
func (c *configuration) newestVersion() fescuebank.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.table == nil {
		return 0
	}
	return c.newest.table.Version
}
