package events

import "github.com/rs/zerolog"

// Events of the process itself.
var (
	DaemonStarted   = register(1001, "daemon-started", zerolog.InfoLevel, "The daemon has read its settings and opened its listeners.")
	DaemonStopping  = register(1002, "daemon-stopping", zerolog.InfoLevel, "A graceful stop has begun; the VM accepts no new work.")
	DaemonStopped   = register(1003, "daemon-stopped", zerolog.InfoLevel, "The last request in flight has ended and the daemon exits.")
	LogLinesDropped = register(1004, "log-lines-dropped", zerolog.WarnLevel, "The log output could not keep up; count is the number of lines dropped since the last event of this kind.")
	SettingsRead    = register(1005, "settings-read", zerolog.InfoLevel, "The settings file was read again on SIGHUP; changed values take effect at the next start.")
	SettingsInvalid = register(1006, "settings-invalid", zerolog.WarnLevel, "The settings file was read again on SIGHUP and is invalid; the daemon keeps running but cannot start again with this file.")
	PanicContained  = register(1007, "panic-contained", zerolog.ErrorLevel, "The program hit an error of its own and gave up the work named in the line, a request, a message or an entry; the process goes on. Report it with its stack.")
)
