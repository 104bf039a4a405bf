package main

import (
	"fmt"
	"os"
)

// cases are the cases by name, and plays that review/REPORT-2.md tells of and that are no cases.
var cases = map[string]func(w *world) (broken bool, err error){
	"take-up":  playTakeUp,
	"versions": playVersions,
	"tenants":  playTenants,
	"fields":   playFields,
}

// couldNotRun is the exit code of a case that could not run.
const couldNotRun = 2

func main() {
	os.Exit(play())
}

// play plays the case that is named on the command line, with the path of its record.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE RECORD")
		return couldNotRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	w.list()
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		return couldNotRun
	case broken:
		w.say("the rule was broken")
		return 1
	default:
		w.say("the rule held")
		return 0
	}
}
