package router

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"gotest.tools/v3/assert"
)

// scriptLogsVariable names the directory to which the scripts write the log of each router, so
// that a failed run can be traced. Without it the logs are discarded.
const scriptLogsVariable = "MULBERRYHEAD_SCRIPT_LOGS"

// logOutput returns where a router of the script writes its log.
func (sr *scriptRunner) logOutput(router string) io.Writer {
	directory := os.Getenv(scriptLogsVariable)
	if directory == "" {
		return io.Discard
	}
	name := strings.ReplaceAll(sr.t.Name(), "/", "-") + "-" + router + ".log"
	file, err := os.OpenFile(filepath.Join(directory, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(sr.t, err)
	sr.t.Cleanup(func() { assert.Check(sr.t, file.Close()) })
	return file
}
