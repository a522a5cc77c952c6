package fescuebank

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxJobItems is the largest number of items in one batch job.
const MaxJobItems = 130_000

// JobStatus is the status of a batch job, with the names of the callers' API.
type JobStatus string

// The statuses of a job.
const (
	JobInProgress JobStatus = "in_progress"
	JobCancelling JobStatus = "cancelling"
	JobCancelled  JobStatus = "cancelled"
	JobCompleted  JobStatus = "completed"
)

// Final reports whether the job can't change any longer.
func (s JobStatus) Final() bool {
	return s == JobCancelled || s == JobCompleted
}

// Counts holds the number of a job's items by outcome.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Job is the value of a job object. A job is identified by the team and the caller's
// idempotency key, or the input file if no key was given.
type Job struct {
	ID   JobID  `json:"id"`
	Team TeamID `json:"team"`
	// Input is the uploaded file whose chunks hold the items.
	Input FileID `json:"input"`
	// ContentHash is that of the input file.
	ContentHash string `json:"content"`
	// Path is the path of the callers' API that the items are requests for.
	Path string `json:"path"`
	// Chunks is the number of chunks of Input.
	Chunks int       `json:"chunks"`
	Status JobStatus `json:"status"`
	Counts Counts    `json:"counts"`
	// Created, Due and Finished are in UTC.
	Created  time.Time `json:"created"`
	Due      time.Time `json:"due"`
	Finished time.Time `json:"finished,omitzero"`
	// Metadata is set by the caller and not interpreted.
	Metadata map[string]string `json:"metadata,omitempty"`
}

// File is the value of a file object. The object is written after all chunks, so
// a file is readable as soon as its object exists.
type File struct {
	ID      FileID    `json:"id"`
	Team    TeamID    `json:"team"`
	Name    string    `json:"name"`
	Purpose string    `json:"purpose"`
	Size    Bytes     `json:"size"`
	Chunks  int       `json:"chunks"`
	Items   int       `json:"items"`
	Created time.Time `json:"created"`
	// ContentHash is the SHA-256 of the items in hexadecimal digits. Two uploads of
	// the same items have the same one.
	ContentHash string `json:"content"`
}

// Chunk is a part of an input file. It holds complete lines and is at most
// MaxValue long when compressed.
type Chunk struct {
	// First is the number of the first item, from 0.
	First int `cbor:"1,keyasint"`
	// Lines are the items as received, one JSON object each.
	Lines [][]byte `cbor:"2,keyasint"`
}

// ItemRef names one item of a job.
type ItemRef struct {
	Job   JobID `cbor:"1,keyasint"`
	Chunk int   `cbor:"2,keyasint"`
	// Item is the index in the chunk.
	Item int `cbor:"3,keyasint"`
}

// BatchLine is one line of a job's input.
type BatchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ItemOutcome is how an item ended.
type ItemOutcome struct {
	CustomID string `cbor:"1,keyasint"`
	// Status is the HTTP status of the response.
	Status int `cbor:"2,keyasint"`
	// Body is the body of the response, a JSON object, or of the error.
	Body []byte `cbor:"3,keyasint"`
	// Failed puts the item into the error file.
	Failed bool `cbor:"4,keyasint"`
}

// ItemResult is an item with its outcome in a result segment.
type ItemResult struct {
	// Item is the index in the chunk.
	Item    int         `cbor:"1,keyasint"`
	Outcome ItemOutcome `cbor:"2,keyasint"`
}

// ChunkRecord states which items of a chunk are complete. An item counts as
// complete as soon as a record names the segment that holds its result.
type ChunkRecord struct {
	// OwnerFencing is the fencing number of the owner that wrote the record.
	OwnerFencing FencingNumber `cbor:"1,keyasint"`
	// Done has one bit per item, least significant bit first.
	Done []byte `cbor:"2,keyasint"`
	// Segments are the store keys of the result segments, in order of commit.
	// Each item's result is in exactly one of them.
	Segments []string `cbor:"3,keyasint"`
	// Completed and Failed count the items in Segments.
	Completed int `cbor:"4,keyasint"`
	Failed    int `cbor:"5,keyasint"`
	// Closed means that no more results are accepted, after a cancellation.
	Closed bool `cbor:"6,keyasint"`
}

// IsDone reports whether item's result is committed.
func (r *ChunkRecord) IsDone(item int) bool {
	return item/8 < len(r.Done) && r.Done[item/8]&(1<<(item%8)) != 0
}

// MarkDone records that item's result is committed.
func (r *ChunkRecord) MarkDone(item int) {
	for item/8 >= len(r.Done) {
		r.Done = append(r.Done, 0)
	}
	r.Done[item/8] |= 1 << (item % 8)
}

// NewJobID returns the id of a team's job. The id starts with the team's shard,
// so that every instance can find the owner by it. The rest depends only on the
// team and the caller's idempotency key, so that a resent job has the same id.
func NewJobID(team TeamID, idempotencyKey string) JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + idempotencyKey))
	return JobID(fmt.Sprintf("batch-%02x-%s", uint32(ShardOf(string(team))), hex.EncodeToString(sum[:jobIDBytes])))
}

// jobIDBytes is the length of the truncated hash in a job's id.
const jobIDBytes = 12

// Shard returns the shard of the job's team.
func (id JobID) Shard() (ShardID, bool) {
	part, _, ok := strings.Cut(strings.TrimPrefix(string(id), "batch-"), "-")
	n, err := strconv.ParseUint(part, 16, 32)
	if !ok || err != nil || n >= ShardCount {
		return 0, false
	}
	return ShardID(n), true
}

// ActiveJob is the value of the object that marks a job as unfinished. Owners
// watch these objects.
type ActiveJob struct {
	Team TeamID    `json:"team"`
	Due  time.Time `json:"due"`
	// Cancel is set after the caller has cancelled the job.
	Cancel bool `json:"cancel,omitempty"`
}

// Store keys of batch objects.
const (
	JobPrefix    = "jobs/"
	FilePrefix   = "files/"
	ActivePrefix = "activeJobs/"
)

// JobKey returns the store key of a job.
func JobKey(id JobID) string { return JobPrefix + string(id) }

// ActiveKey returns the store key that marks a job as unfinished.
func ActiveKey(id JobID) string { return ActivePrefix + string(id) }

// TeamJobKey returns the store key that lists a job under its team.
func TeamJobKey(t TeamID, id JobID) string {
	return "teamJobs/" + string(t) + "/" + string(id)
}

// FileKey returns the store key of a file.
func FileKey(id FileID) string { return FilePrefix + string(id) }

// FileChunkKey returns the store key of a file's chunk.
func FileChunkKey(id FileID, chunk int) string {
	return fmt.Sprintf("fileChunks/%s/%06d", id, chunk)
}

// RecordPrefix returns the store prefix of a job's chunk records.
func RecordPrefix(id JobID) string { return "records/" + string(id) + "/" }

// RecordKey returns the store key of a chunk record.
func RecordKey(id JobID, chunk int) string {
	return fmt.Sprintf("%s%06d", RecordPrefix(id), chunk)
}

// ChunkNumber returns the number of the chunk from the key of its record.
func ChunkNumber(key string) (int, error) {
	return strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
}

// SegmentKey returns the store key of a result segment. The owner's fencing
// number and the random part give the segment of each attempt its own key.
func SegmentKey(id JobID, chunk int, fencing FencingNumber, random string) string {
	return fmt.Sprintf("segments/%s/%06d/%d-%s", id, chunk, fencing, random)
}
