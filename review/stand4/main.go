// Command stand4 runs the scripts of the third independent review: it starts the routers of the deploy file as processes of their own, with
// stand-ins of the platform's store, the replicas and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// verdict is whether a rule was broken, or why the case could not run.
type verdict struct {
	broken bool
	err    error
}

// cases are the scripts by the number of their folder.
var cases = map[string]func(w *world, trouble bool) verdict{
	"11": lastTenant,
	"12": latePart,
	"13": firstStart,
	"14": outageAndKill,
	"15": ownSuccess,
}

func main() {
	os.Exit(runCase())
}

// runCase runs the case of the first argument, whose folder is the second, and returns the exit code.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand4 CASE FOLDER")
		return exitNotRun
	}
	rec := newRecord()
	w, err := newWorld(rec)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	v := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case v.err != nil:
		rec.add("the case could not run: %v", v.err)
	case v.broken:
		rec.add("verdict: the rule was broken")
	default:
		rec.add("verdict: the rule held")
	}
	if err := rec.save(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	switch {
	case v.err != nil:
		fmt.Fprintln(os.Stderr, v.err)
		return exitNotRun
	case v.broken:
		return exitBroken
	default:
		return exitHeld
	}
}
