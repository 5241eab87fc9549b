package basilentry

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

func TestFleetFigures(t *testing.T) {
	c, stop := viewOf(t, 5, 2)
	defer stop()
	must.Eq(t, map[string]map[string]int{"pool-00": {"active": 3}, "pool-01": {"active": 2}}, hostStates(c.View()))
	must.EqOp(t, 3, budgetsLeft(c.View())["service-00-0"])
	b := basilplatform.NewBreaker(&basilstandin.Table{}, basilplatform.BreakerOptions{})
	must.EqOp(t, "closed", tableFigures(b).State)
	must.EqOp(t, "", tableFigures(&basilstandin.Table{}).State)
}
