package basilexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// RenewalTable says which cases are played for each way to renew leases.
type RenewalTable struct {
	Leases   []time.Duration
	Shares   []float64
	Duration time.Duration
	Seed     uint64
	Plays    int
}

// WriteRenewals plays the cases and writes the share of plays in which the leases on a sound backend server lapsed, by share of the holds
// that get no answer; the holds a second when none is lost and at the last share; the longest silence when all answers become slow; and for
// a server that is gone the time from its last answer until it is given up, and the most holds within a second.
func WriteRenewals(w io.Writer, t RenewalTable) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(out, "lease\tway")
	for _, trouble := range []Trouble{TroubleLost, TroubleLate} {
		for _, share := range t.Shares {
			fmt.Fprintf(out, "\t%v %g", trouble, share)
		}
	}
	fmt.Fprintln(out, "\tholds/s at 0\tat last share\tslow: silent s\tgone: given up s\tholds in 1 s")
	for _, lease := range t.Leases {
		for _, way := range RenewalWays() {
			fmt.Fprintf(out, "%v\t%s", lease, way.Name)
			play := func(trouble Trouble, share float64, d time.Duration) RenewalFigures {
				return PlayRenewals(way, RenewalCase{trouble, share, d, lease}, t.Seed, t.Plays)
			}
			var f RenewalFigures
			for _, trouble := range []Trouble{TroubleLost, TroubleLate} {
				for _, share := range t.Shares {
					f = play(trouble, share, t.Duration)
					fmt.Fprintf(out, "\t%.4f", float64(f.Lapsed)/float64(f.Plays))
				}
			}
			slow, gone := play(TroubleSlow, 1, t.Duration), play(TroubleLost, 1, 2*lease)
			fmt.Fprintf(out, "\t%.2f\t%.2f\t%.2f\t%.2f\t%d\n", play(TroubleLost, 0, t.Duration).Holds, f.Holds, slow.Silence.Seconds(), gone.GivenUp.Seconds(), gone.Busiest)
		}
	}
	return errors.WithStack(out.Flush())
}
