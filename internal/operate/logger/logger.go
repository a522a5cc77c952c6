// Package logger makes the logs of a process.
package logger

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

// Logger makes logs by settings.
type Logger struct {
	Settings fescuebank.LogSettings
	Output   io.Writer
}

// Open returns the log of the process; its parts name themselves below it.
func (l Logger) Open(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(l.Settings.Level), JSONFormat: l.Settings.JSON, Output: l.Output,
	})
}
