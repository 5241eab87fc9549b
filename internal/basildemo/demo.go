package basildemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/pkg/basilapi"
)

const waveName = "spring"

// Limits of the demonstration.
const (
	stepLimit  = 3 * time.Minute
	watchEvery = 200 * time.Millisecond
)

var configuration = basilmodel.ConfigurationRecord{
	Pools: []basilmodel.Pool{{Name: "counter", Spare: true}, {Name: "stretch"}},
	Services: []basilmodel.Service{
		{Name: "quote", Pool: "counter", MinAvailable: 3},
		{Name: "receipt", Pool: "counter", MinAvailable: 3},
		{Name: "overnight", Pool: "stretch", Class: basilmodel.ServiceClassLong, MinAvailable: 3},
	},
}

// demo is one run.
type demo struct {
	*fleet
	out   io.Writer
	began time.Time
}

// Run runs the demonstration and prints a line for each event; it fails with ErrPromiseBroken or ErrStepLimit.
func Run(ctx context.Context, out io.Writer) error {
	directory, err := os.MkdirTemp("", "basilstage-demo")
	if err != nil {
		return errors.WithStack(err)
	}
	f, err := newFleet(ctx, directory)
	if err != nil {
		return err
	}
	d := &demo{fleet: f, out: out, began: time.Now()}
	l := &load{}
	jobs, err := d.play(ctx, l)
	if ended := f.end(directory); err == nil {
		err = ended
	}
	if err != nil {
		return err
	}
	return d.summarise(context.WithoutCancel(ctx), jobs)
}

func (d *demo) say(format string, a ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, a...))
}

// play runs the scenes under load and returns the jobs of the load.
func (d *demo) play(ctx context.Context, l *load) ([]job, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.watch(watching)
	if err := d.open(ctx); err != nil {
		return nil, err
	}
	loading, stop := context.WithCancel(ctx)
	loaded := make(chan struct{})
	go func() {
		l.run(loading, d.addresses)
		close(loaded)
	}()
	err := d.scenes(ctx)
	stop()
	<-loaded
	return l.done(), err
}

// open waits for the entry hosts and declares pools and services.
func (d *demo) open(ctx context.Context) error {
	document, err := json.Marshal(configuration)
	if err != nil {
		return errors.WithStack(err)
	}
	err = d.await(ctx, "the entry hosts", func() bool {
		_, err := d.client.Command(ctx, basilapi.OperatorRequest{ID: "opening", Text: "apply configuration", Reason: "opening", Body: document})
		return err == nil
	})
	if err != nil {
		return err
	}
	return d.await(ctx, "all hosts in service", func() bool {
		return d.count(ctx, "hosts where state = active") == len(d.backends)
	})
}

func (d *demo) scenes(ctx context.Context) error {
	long, err := d.client.Submit(ctx, basilapi.SubmitRequest{Service: "overnight", GuessMS: 500, Payload: []byte("boot stretch")})
	if err != nil {
		return err
	}
	d.say("long job accepted: %s", long.ID)
	if err := d.command(ctx, "move host fukuoka-1 to stretch"); err != nil {
		return err
	}
	err = d.await(ctx, "the move", func() bool {
		return d.count(ctx, "hosts where host = fukuoka-1 and pool = stretch and state = active") == 1
	})
	if err != nil {
		return err
	}
	if err := d.command(ctx, "create wave "+waveName); err != nil {
		return err
	}
	if err := d.command(ctx, "start wave "+waveName); err != nil {
		return err
	}
	err = d.await(ctx, "the wave", func() bool { return d.count(ctx, "waves where state = done") == 1 })
	if err != nil {
		return err
	}
	a, err := d.client.Job(ctx, long.ID)
	if err != nil {
		return err
	}
	d.say("long job %s: %s", a.State, a.Answer)
	return nil
}

func (d *demo) command(ctx context.Context, text string) error {
	a, err := d.client.Command(ctx, basilapi.OperatorRequest{Text: text, Reason: "demonstration"})
	if err != nil {
		return err
	}
	d.say("$ %s: %s", text, a.Summary)
	return nil
}

func (d *demo) count(ctx context.Context, query string) int {
	a, err := d.client.Query(ctx, query)
	if err != nil {
		return 0
	}
	return len(a.Rows)
}

func (d *demo) await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.WithStack(ErrStepLimit{Step: what})
		case <-ticker.C:
		}
	}
	return nil
}

// watch prints each change of the audit trail.
func (d *demo) watch(ctx context.Context) {
	trail := basilaudit.NewTrail(d.platform.Table())
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	var after int64
	for {
		entries, err := trail.After(ctx, after, 0)
		if err == nil {
			for _, e := range entries {
				after = e.Sequence()
				r := e.Record()
				d.say("%3d  %-9s  %-19s  %-12s  %s", r.Sequence, r.Operator, r.Action, r.Subject, r.Reason)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// summarise prints each promise and what was seen of it.
func (d *demo) summarise(ctx context.Context, jobs []job) error {
	verdicts := d.checkJobs(jobs)
	more, err := d.checkTrail(ctx)
	if err != nil {
		return err
	}
	broken := 0
	fmt.Fprintln(d.out)
	for _, v := range append(verdicts, more...) {
		mark := "held  "
		if !v.held {
			mark = "BROKEN"
			broken++
		}
		fmt.Fprintf(d.out, "%s  %-45s  %s\n", mark, v.promise, v.seen)
	}
	if broken > 0 {
		return errors.WithStack(ErrPromiseBroken{Count: broken})
	}
	return nil
}
