package basillog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

func TestLogger(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info")
	must.NoError(t, err)
	at := l.WithTime(time.Date(2026, 3, 1, 9, 0, 0, 5000, time.UTC))
	at.WithField(FieldMember, "entry-1").Info("ready")
	at.Debug("hidden")
	must.NoError(t, SetLevel(l, "debug"))
	at.WithFields(logrus.Fields{"body": "boots", "Access_Key": "k", "team_token": 1, FieldTeam: "fitters"}).Debug("submitted")
	at.WithError(ErrLevelInvalid{Level: "loud"}).WithField(FieldDuration, 12).Warn("odd")
	must.True(t, IsErrLevelInvalid(SetLevel(l, "loud")))
	must.Eq(t, logrus.DebugLevel, l.GetLevel())
	goldie.New(t).Assert(t, "logger", out.Bytes())
	_, err = New(&out, "loud")
	must.True(t, IsErrLevelInvalid(err))
	must.False(t, strings.Contains(out.String(), "boots"))
	Discard().Error("nowhere")
}
