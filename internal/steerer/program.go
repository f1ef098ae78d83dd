package steerer

import (
	"os"

	"github.com/rs/zerolog"
)

// loggedProgram adds to a log line which program runs, so that it can be told from one that was
// built from other code.
type loggedProgram struct{}

// MarshalZerologObject adds the fields ProgramBytes and ProgramWritten, the size of the program's
// file and when it was written, unless the file cannot be found.
func (loggedProgram) MarshalZerologObject(line *zerolog.Event) {
	path, err := os.Executable()
	if err != nil {
		return
	}
	file, err := os.Stat(path)
	if err != nil {
		return
	}
	line.Int64("ProgramBytes", file.Size()).Time("ProgramWritten", file.ModTime())
}
