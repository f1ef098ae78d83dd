// Command standins-3 runs the scripted cases of the third review: a store, servers and clients
// around one instance of the program, which runs as a process of its own.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	failure = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	file  *os.File
	begun time.Time
}

func (r *recorder) line(at time.Time, format string, values ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD FOLDER")
		os.Exit(failure)
	}
	cases := map[string]func(*recorder, string, bool) (bool, error){
		"lost":  runLost,
		"gone":  runGone,
		"moved": runMoved,
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failure)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failure)
	}
	record := &recorder{file: file, begun: time.Now()}
	isBroken, err := run(record, os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.line(time.Now(), "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failure)
	case isBroken:
		os.Exit(broken)
	}
	os.Exit(held)
}
