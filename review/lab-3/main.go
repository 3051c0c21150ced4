// Command lab-3 plays the scripted cases of the third review: it starts entry processes with stand-ins for the platform,
// the minions and the clients. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. trouble tells whether the disruption is to take place.
var cases = map[string]func(l *lab, trouble bool) error{
	"foreign-entry": foreignEntry,
	"empty-step":    emptyStep,
	"torn-records":  tornRecords,
	"late-start":    lateStart,
	"failed-twice":  failedTwice,
	"lost-record":   lostRecord,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(run3(play, *path, *keep))
}

// run3 plays a case and returns the exit code.
func run3(play func(l *lab, trouble bool) error, path string, keep bool) int {
	l, err := newLab(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("with the disruption: %t", trouble)
	err = play(l, trouble)
	l.close(keep)
	if keep {
		fmt.Println("logs in", l.dir)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(l.broken) > 0:
		fmt.Println(l.broken[0])
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("held")
	return exitHeld
}
