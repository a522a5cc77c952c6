package manager_test

import (
	"context"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// slowStore is a store whose calls take effect late and whose replies come late.
type slowStore struct {
	*memorystorer.MemoryStorer
	// delay returns how long a call takes before it has an effect, and its reply after that.
	delay func() time.Duration
}

func (s *slowStore) Get(ctx context.Context, key string) (fescuebank.Object, error) {
	time.Sleep(s.delay())
	defer func() { time.Sleep(s.delay()) }()
	return s.MemoryStorer.Get(ctx, key)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, expected fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	time.Sleep(s.delay())
	defer func() { time.Sleep(s.delay()) }()
	return s.MemoryStorer.Put(ctx, key, value, expected)
}

func (p *ownerPair) storeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

func (p *ownerPair) setStoreDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}
