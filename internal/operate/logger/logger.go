// Package logger opens the log of a process.
package logger

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

// Logger opens logs according to settings.
type Logger struct {
	Settings fescuebank.LogSettings
	Output   io.Writer
}

// Open returns the root log of the process; components use sub-loggers of it.
func (l Logger) Open(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(l.Settings.Level), JSONFormat: l.Settings.JSON, Output: l.Output,
	})
}
