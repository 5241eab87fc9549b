package basiljob

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Sort keys of the items of a long job; each job has its own partition.
const (
	sortRecord     = "record"
	sortPayload    = "payload"
	sortResult     = "result"
	sortCheckpoint = "checkpoint"
)

// LongJobRecord is the stored form of a long job.
type LongJobRecord struct {
	ID         basilapi.JobID    `json:"id"`
	State      basilapi.JobState `json:"state"`
	Outcome    basilapi.Outcome  `json:"outcome"` // OutcomePending until the state is final
	Digest     uint64            `json:"digest,omitempty"`
	Service    string            `json:"service,omitempty"`
	Idempotent bool              `json:"idempotent,omitempty"`
	Urgent     bool              `json:"urgent,omitempty"`
	Cores      int               `json:"cores,omitempty"`
	MemoryMB   int               `json:"memory_mb,omitempty"`
	GuessMS    int64             `json:"guess_ms,omitempty"`
	Deadline   time.Time         `json:"deadline,omitzero"` // latest start time
	PayloadSum uint64            `json:"payload"`           // checksum of the payload

	DataCentre string    `json:"data_centre,omitempty"` // data centre whose index lists the job while it is open
	Owner      ulid.ULID `json:"owner"`                 // incarnation of the entry host that runs the job

	Attempt        int    `json:"attempt,omitempty"` // the latest attempt that may have been sent
	Host           string `json:"host,omitempty"`
	Address        string `json:"address,omitempty"`
	HostEpoch      int64  `json:"host_epoch,omitempty"`
	Boot           string `json:"boot,omitempty"`       // boot id of the worker, read before the attempt was recorded
	StartConfirmed bool   `json:"seen,omitempty"`       // the current attempt is known to have started
	MayHaveRun     bool   `json:"ran,omitempty"`        // an earlier attempt may have started
	CheckpointSum  uint64 `json:"checkpoint,omitempty"` // checksum of the stored checkpoint; 0 if there is none

	FailedOn []string `json:"failed_on,omitempty"` // hosts where an attempt failed
	Refusals int      `json:"refusals,omitempty"`  // number of attempts that hosts refused

	ResultSum uint64        `json:"result,omitempty"` // checksum of the result
	Code      basilapi.Code `json:"code,omitempty"`
	Reason    string        `json:"reason,omitempty"`
}

// longJob is a record with the version and transaction token of its table item.
type longJob struct {
	LongJobRecord
	version int64
	token   string
}

// neverStarted reports whether the worker's status proves that the recorded attempt never started.
//
// A worker that has rebooted, or that doesn't report its boot id, may have lost its record of the attempt.
func (r LongJobRecord) neverStarted(s basilplatform.TaskStatus) bool {
	return s.State == basilplatform.TaskStateNotStarted && s.Boot != "" && s.Boot == r.Boot
}

func (r LongJobRecord) final() bool {
	return r.State != basilapi.JobStateAccepted && r.State != basilapi.JobStateStarted
}

func (r LongJobRecord) answer() basilapi.JobAnswer {
	return basilapi.JobAnswer{ID: r.ID, Outcome: r.Outcome, State: r.State, Attempt: r.Attempt, Reason: r.Reason}
}

func jobKey(id basilapi.JobID, sort string) basilplatform.Key {
	return basilplatform.Key{Partition: "job/" + id.String(), Sort: sort}
}

func indexPartition(dataCentre string) string { return "open-jobs/" + dataCentre }

// indexKey sorts open jobs by owner, so that one query finds the jobs of an owner.
func (r LongJobRecord) indexKey() basilplatform.Key {
	return basilplatform.Key{Partition: indexPartition(r.DataCentre), Sort: ownerPrefix(r.Owner) + r.ID.String()}
}

func ownerPrefix(owner ulid.ULID) string { return owner.String() + "/" }

// afterOwner returns a sort key after all keys of the owner and before those of the next owner; "0" follows "/" in ASCII.
func afterOwner(owner ulid.ULID) string { return owner.String() + "0" }

// parseIndexSort parses the owner and the job id from a sort key of the index.
func parseIndexSort(k basilplatform.Key) (ulid.ULID, basilapi.JobID, error) {
	owner, id, _ := strings.Cut(k.Sort, "/")
	o, err := ulid.ParseStrict(owner)
	if err != nil {
		return ulid.ULID{}, basilapi.JobID{}, errors.WithStack(ErrItemCorrupt{Key: k, Cause: err})
	}
	j, err := basilapi.ParseJobID(id)
	if err != nil {
		return ulid.ULID{}, basilapi.JobID{}, errors.WithStack(ErrItemCorrupt{Key: k, Cause: err})
	}
	return o, j, nil
}

// put returns a write that stores the record if the item still has the given version; version 0 means that it must not exist.
func (r LongJobRecord) put(version int64) (basilplatform.Write, error) {
	body, err := json.Marshal(r)
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: jobKey(r.ID, sortRecord), Body: body}
	if version > 0 {
		w.Precondition, w.Version = basilplatform.PreconditionVersion, version
	}
	return w, errors.WithStack(err)
}

func parseLongJob(i basilplatform.Item) (longJob, error) {
	j := longJob{version: i.Version, token: i.Token}
	if err := json.Unmarshal(i.Body, &j.LongJobRecord); err != nil {
		return longJob{}, errors.WithStack(ErrItemCorrupt{Key: i.Key, Cause: err})
	}
	return j, nil
}

func putBody(k basilplatform.Key, p basilplatform.Precondition, body []byte) basilplatform.Write {
	return basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: k, Precondition: p, Body: body}
}

func deleteItem(k basilplatform.Key) basilplatform.Write {
	return basilplatform.Write{Kind: basilplatform.WriteKindDelete, Key: k, Precondition: basilplatform.PreconditionNone}
}

func checksum(body []byte) uint64 { return xxhash.Sum64(body) }
