package fescuebank

import (
	"crypto/rand"
	"encoding/hex"
)

// InstanceID names one instance. It is unique in the fleet and stays the same when
// the process restarts.
type InstanceID string

// Incarnation distinguishes process starts of the same instance. It is random.
type Incarnation string

// EndpointID names one endpoint.
type EndpointID string

// TeamID names one team.
type TeamID string

// Region names a group of availability zones that share one platform store.
type Region string

// Zone names an availability zone.
type Zone string

// ModelName is the name by which callers request a model.
type ModelName string

// ServiceName is the path segment after /s/ of a plain service's route.
type ServiceName string

// JobID names one batch job.
type JobID string

// FileID names one uploaded or produced file.
type FileID string

// RequestID identifies one request from the caller's connection to the endpoint.
type RequestID string

// ShardID is the index of a shard in an assignment, from 0.
type ShardID uint32

// Generation is the version number of the configuration. It only increases.
type Generation uint64

// FencingNumber is the version of the assignment, or the epoch of the list of
// owners, under which an owner acts. A command with a lower number than one already
// seen is stale.
type FencingNumber uint64

// randomIDBytes is the entropy of a generated id in bytes.
const randomIDBytes = 12

// NewRandomID returns prefix followed by 24 random hexadecimal digits.
func NewRandomID(prefix string) string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails since Go 1.24.
	return prefix + hex.EncodeToString(b[:])
}
