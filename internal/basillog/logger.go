package basillog

import (
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes JSON lines; it fails with ErrLevelInvalid.
func New(w io.Writer, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime:  FieldTime,
			logrus.FieldKeyLevel: FieldLevel,
			logrus.FieldKeyMsg:   FieldMessage,
		},
	})
	l.AddHook(redaction{})
	if err := SetLevel(l, level); err != nil {
		return nil, err
	}
	return l, nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}

// SetLevel switches the logger's level at run time; it fails with ErrLevelInvalid.
func SetLevel(l *logrus.Logger, level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.WithStack(ErrLevelInvalid{Level: level})
	}
	l.SetLevel(parsed)
	return nil
}

// redaction replaces the values of fields that may hold secrets or payloads.
type redaction struct{}

// Levels returns all levels.
func (redaction) Levels() []logrus.Level { return logrus.AllLevels }

// Fire replaces the secret values of the entry.
func (redaction) Fire(e *logrus.Entry) error {
	for name := range e.Data {
		if secret(name) {
			e.Data[name] = redacted
		}
	}
	return nil
}

func secret(name string) bool {
	lower := strings.ToLower(name)
	for _, w := range secretWords {
		if strings.Contains(lower, w) {
			return true
		}
	}
	return false
}
