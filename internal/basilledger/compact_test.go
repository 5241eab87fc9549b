package basilledger

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// TestCompactFormsKeepProgress checks that each smaller form of a record is read with all of its progress, the last one without checkpoints.
func TestCompactFormsKeepProgress(t *testing.T) {
	r := basilwork.Record{State: basilwork.JobStateActive, Writer: "c", Accepted: 1, Job: basilwork.Job{ID: "1", Queue: "q", Steps: make([]basilwork.Step, 400)}}
	p := basilwork.OccurrenceProgress{Steps: make([]basilwork.StepProgress, 400)}
	for n := range p.Steps {
		p.Steps[n].SetDone(n % 3)
		p.Steps[n].SetCheckpoint(4, "00000bb87a21d94b")
		p.Steps[n].AddFailed(4, 1)
		p.Steps[n].AddCrash(4, basilwork.Crash{Attempt: 2, Weight: 1})
	}
	r.Progress = map[int]*basilwork.OccurrenceProgress{0: &p}
	want := r
	e, err := NewEntry(r, 7, "c", FormPlain)
	must.NoError(t, err)
	for {
		read, err := Decode(basilplatform.Item{Body: e.Body})
		must.NoError(t, err)
		must.Eq(t, want, read, must.Sprint(e.Form))
		smaller, ok := e.Compact()
		if !ok {
			break
		}
		must.Less(t, len(e.Body), len(smaller.Body))
		must.Eq(t, e.ID, smaller.ID)
		must.Eq(t, e.Version, smaller.Version)
		if e = smaller; e.Form == FormWithoutCheckpoints {
			want = r.WithoutCheckpoints()
		}
	}
	must.Eq(t, FormWithoutCheckpoints, e.Form)
	must.MapLen(t, 1, p.Steps[0].Checkpoints, must.Sprint("of the record itself"))
}

// TestUnreadableCompressedRecord checks that a truncated row is an error that names the job.
func TestUnreadableCompressedRecord(t *testing.T) {
	body, err := encodeRecord(&basilwork.Record{}, FormCompressed)
	must.NoError(t, err)
	for n := range body {
		_, err := Decode(basilplatform.Item{Key: Key("s", "1"), Body: body[:n]})
		must.True(t, IsErrRecordUnreadable(err))
	}
}

// TestRowsOfEndedJobsHaveNoPayload checks that a job's row loses the payload once the job has ended, by a group commit or a cancellation, and not
// before: a new owner reads the rows of all jobs that have ended lately before it starts anything.
func TestRowsOfEndedJobsHaveNoPayload(t *testing.T) {
	s := newMemoryStore()
	store := func(id string, state basilwork.JobState) basilwork.Record {
		r := basilwork.Record{State: state, Job: basilwork.Job{ID: id, Queue: "q", Payload: "spec", Steps: []basilwork.Step{{Count: 1}}}}
		e, err := NewEntry(r, 0, "x.1.1", FormPlain)
		must.NoError(t, err)
		_, err = s.Commit(t.Context(), basilplatform.Transaction{Writes: []basilplatform.Write{e.write("looms")}})
		must.NoError(t, err)
		stored, _, err := New(s).Find(t.Context(), "looms", id)
		must.NoError(t, err)
		return stored
	}
	must.Eq(t, "spec", store("1", basilwork.JobStateActive).Job.Payload)
	must.Eq(t, "", store("2", basilwork.JobStateCompleted).Job.Payload)
	must.Eq(t, "", store("3", basilwork.JobStateFailed).Job.Payload)
	must.NoError(t, New(s).Cancel(t.Context(), "looms", "q", "1"))
	r, _, err := New(s).Find(t.Context(), "looms", "1")
	must.NoError(t, err)
	must.Eq(t, "", r.Job.Payload)
	must.False(t, r.IsTombstone())
}
