package basilexperiment

import (
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot draws as SVG how many hosts each policy held and how many its work would fill, over time; with a loss of hosts, how many hosts the
// service had that lost some.
func WritePlot(w io.Writer, l *Load, plays []*Figures) error {
	p := plot.New()
	p.Title.Text = "hosts held and used"
	if l.Lost > 0 {
		p.Title.Text = "hosts of the service that lost some"
	}
	p.X.Label.Text = "s"
	p.Y.Label.Text = "hosts"
	p.Y.Min = 0
	p.Legend.Top = true
	for n, f := range plays {
		held, used, loser := make(plotter.XYs, len(f.series)), make(plotter.XYs, len(f.series)), make(plotter.XYs, len(f.series))
		for i, m := range f.series {
			held[i] = plotter.XY{X: m.at.Seconds(), Y: m.held}
			used[i] = plotter.XY{X: m.at.Seconds(), Y: m.used}
			loser[i] = plotter.XY{X: m.at.Seconds(), Y: m.loser}
		}
		if l.Lost > 0 {
			if err := addLine(p, n, f.PolicyName, loser, false); err != nil {
				return err
			}
			continue
		}
		if err := addLine(p, n, f.PolicyName+" held", held, false); err != nil {
			return err
		}
		if err := addLine(p, n, f.PolicyName+" used", used, true); err != nil {
			return err
		}
	}
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = to.WriteTo(w)
	return errors.WithStack(err)
}

func addLine(p *plot.Plot, color int, name string, points plotter.XYs, dashed bool) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return errors.WithStack(err)
	}
	l.Color = plotutil.Color(color)
	if dashed {
		l.Dashes = plotutil.Dashes(1)
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}
