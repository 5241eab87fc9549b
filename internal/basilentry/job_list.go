package basilentry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilquery"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Where basiljob keeps long jobs.
const (
	openJobsPartition  = "open-jobs/"
	endedJobsPartition = "ended-jobs/"
	jobPartition       = "job/"
	jobSort            = "record"
)

// Windows of time in which ended jobs are read, from now back to the retention.
const (
	firstJobWindow = time.Minute
	jobRetention   = 8 * 24 * time.Hour
	jobSkew        = time.Minute // by which another entry host's clock may be ahead
	jobPage        = 500
)

// listedJob is a long job as an index names it.
type listedJob struct {
	id    basilapi.JobID
	ended time.Time // zero while it is open
}

// jobRows lists long jobs of all data centres: open ones first, then ended ones, each newest first.
func (e *Entry) jobRows(ctx context.Context, f basilquery.Filter) ([][]string, error) {
	var rows [][]string
	matching := 0
	add := func(jobs []listedJob) error {
		for _, j := range jobs {
			if f.Enough(matching) {
				return nil
			}
			row, err := e.jobRow(ctx, j)
			if err != nil {
				return err
			}
			if row != nil && f.Matches(row) {
				rows = append(rows, row)
				matching++
			}
		}
		return nil
	}
	open, err := e.openJobs(ctx)
	if err != nil {
		return nil, err
	}
	if err := add(open); err != nil {
		return nil, err
	}
	now := time.Now().Add(jobSkew)
	for back, window := time.Duration(0), firstJobWindow; back < jobRetention && !f.Enough(matching); window *= 2 {
		ended, err := e.endedJobs(ctx, now.Add(-back-window), now.Add(-back))
		if err != nil {
			return nil, err
		}
		if err := add(ended); err != nil {
			return nil, err
		}
		back += window
	}
	return rows, nil
}

func (e *Entry) openJobs(ctx context.Context) ([]listedJob, error) {
	var all []listedJob
	for _, d := range e.dataCentres() {
		err := e.eachItem(ctx, openJobsPartition+d, "", func(i basilplatform.Item) bool {
			_, text, _ := strings.Cut(i.Key.Sort, "/")
			if id, err := basilapi.ParseJobID(text); err == nil {
				all = append(all, listedJob{id: id})
			}
			return true
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortFunc(all, func(a, b listedJob) int { return b.id.Serial().Compare(a.id.Serial()) })
	return all, nil
}

// endedJobs returns the jobs that ended after the one time and not after the other.
func (e *Entry) endedJobs(ctx context.Context, after, until time.Time) ([]listedJob, error) {
	var all []listedJob
	for _, d := range e.dataCentres() {
		err := e.eachItem(ctx, endedJobsPartition+d, timeSort(after), func(i basilplatform.Item) bool {
			at, text, _ := strings.Cut(i.Key.Sort, "/")
			id, err := basilapi.ParseJobID(text)
			ended, timeErr := ulid.ParseStrict(at)
			if err == nil && timeErr == nil && at < timeSort(until) {
				all = append(all, listedJob{id: id, ended: ulid.Time(ended.Time())})
			}
			return at < timeSort(until)
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(all, func(a, b listedJob) int { return b.ended.Compare(a.ended) })
	return all, nil
}

// timeSort is the least sort key of the time.
func timeSort(at time.Time) string {
	var s ulid.ULID
	_ = s.SetTime(ulid.Timestamp(at)) // fails only in the year 10889
	return s.String()
}

// eachItem reads the partition page by page until the function returns false.
func (e *Entry) eachItem(ctx context.Context, partition, after string, take func(basilplatform.Item) bool) error {
	for {
		items, err := e.ports.Table.Query(ctx, partition, after, jobPage)
		if err != nil || len(items) == 0 { // a page may be short before the end
			return err
		}
		for _, i := range items {
			if !take(i) {
				return nil
			}
		}
		after = items[len(items)-1].Key.Sort
	}
}

// dataCentres returns those of all hosts and members.
func (e *Entry) dataCentres() []string {
	v := e.control.View()
	all := []string{e.settings.DataCentre()}
	for _, h := range v.Hosts() {
		all = append(all, h.DataCentre())
	}
	for _, m := range v.Members() {
		all = append(all, m.DataCentre())
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// jobRow returns nothing for a job that was deleted meanwhile.
func (e *Entry) jobRow(ctx context.Context, j listedJob) ([]string, error) {
	r, err := e.longJob(ctx, j.id)
	if basiljob.IsErrJobNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return []string{
		j.id.String(), r.Service, r.State.String(), r.Outcome.String(), number(r.Attempt), r.Host, r.DataCentre,
		stamp(ulid.Time(j.id.Serial().Time())), stamp(j.ended), r.Reason,
	}, nil
}

// longJob returns the record of a long job; it fails with basiljob.ErrJobNotExist and as the table does.
func (e *Entry) longJob(ctx context.Context, id basilapi.JobID) (basiljob.LongJobRecord, error) {
	var r basiljob.LongJobRecord
	i, err := e.ports.Table.Get(ctx, basilplatform.Key{Partition: jobPartition + id.String(), Sort: jobSort})
	if basilplatform.IsErrItemNotExist(err) {
		return r, errors.WithStack(basiljob.ErrJobNotExist{ID: id})
	}
	if err != nil {
		return r, err
	}
	return r, errors.WithStack(json.Unmarshal(i.Body, &r))
}
