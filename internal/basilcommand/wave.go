package basilcommand

import (
	"strconv"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/internal/basilmodel"
)

// record returns the wave record that the command describes; it fails with basillanguage.ErrSyntax.
func (c *create) record() (basilmodel.WaveRecord, error) {
	w := basilmodel.WaveRecord{Name: c.Name.Text, Pools: texts(c.Pools), DataCentres: texts(c.DataCentres)}
	if c.Share != nil {
		share, err := strconv.ParseFloat(c.Share.Text, 64)
		if err != nil || !(share > 0 && share <= 1) {
			return w, c.Share.Invalid(strconv.Quote(c.Share.Text) + " is not a share above 0 and up to 1")
		}
		w.MaxShare = share
	}
	if c.Racks != nil {
		n, err := c.Racks.Int(1)
		if err != nil {
			return w, err
		}
		w.RackBatch = int(n)
	}
	if c.Failures != nil {
		n, err := c.Failures.Int(0)
		if err != nil {
			return w, err
		}
		w.FailuresAllowed = int(n)
	}
	return w, nil
}

func texts(words []basillanguage.Word) []string {
	var all []string
	for _, w := range words {
		all = append(all, w.Text)
	}
	return all
}
