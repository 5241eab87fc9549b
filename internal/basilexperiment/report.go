package basilexperiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable writes the figures of plays as a table, one line for each play and one for each kind of job.
func WriteTable(w io.Writer, plays []*Figures) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tpolicy\tqueue\tjobs\ton time\tlate\tworth\tnet\tlargest tenth\tp50 ms\tp99 ms\thosts\tused\tmoves\twasted core-s\tworst\taway s")
	for _, f := range plays {
		fmt.Fprintf(t, "%s\t%s\tall\t\t\t\t%.3f\t%.3f\t\t\t\t%.1f\t%.1f\t%d\t%.0f\t%.3f\t%.1f\n",
			f.Load, f.PolicyName, f.Worth, f.Net, f.Hosts, f.Used, f.Moves, f.Wasted, f.Worst, f.Away.Seconds())
		for _, q := range f.Queues {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%.3f\t\t%.2f\t%d\t%d\t\t\t\t\t\t\n",
				f.Load, f.PolicyName, q.Queue, q.Jobs, q.OnTime, q.Late, q.Worth, q.Large, q.P50, q.P99)
		}
	}
	return errors.WithStack(t.Flush())
}

// WriteJSON writes the figures of plays as JSON lines.
func WriteJSON(w io.Writer, plays []*Figures) error {
	e := json.NewEncoder(w)
	for _, f := range plays {
		if err := e.Encode(f); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// Mean returns the mean of plays of one load and policy with different seeds; quantiles are of all their jobs.
func Mean(plays []*Figures) *Figures {
	m := &Figures{Load: plays[0].Load, Policy: plays[0].Policy, PolicyName: plays[0].PolicyName, series: plays[0].series}
	share := 1 / float64(len(plays))
	for _, f := range plays {
		m.Worth += f.Worth * share
		m.Net += f.Net * share
		m.Hosts += f.Hosts * share
		m.Used += f.Used * share
		m.Moves += f.Moves
		m.Worst += f.Worst * share
		m.Away = max(m.Away, f.Away)
		m.Wasted += f.Wasted * share
		for n, q := range f.Queues {
			if n == len(m.Queues) {
				m.Queues = append(m.Queues, &QueueFigures{Queue: q.Queue, latency: q.latency})
			} else {
				m.Queues[n].latency.Merge(q.latency)
			}
			m.Queues[n].add(q)
		}
	}
	m.Moves = (m.Moves + len(plays)/2) / len(plays)
	for _, q := range m.Queues {
		q.close()
	}
	return m
}

// add counts another play's jobs of the kind.
func (q *QueueFigures) add(o *QueueFigures) {
	q.Jobs += o.Jobs
	q.OnTime += o.OnTime
	q.Late += o.Late
	q.earned += o.earned
	q.owed += o.owed
	q.sizes = append(q.sizes, o.sizes...)
}
