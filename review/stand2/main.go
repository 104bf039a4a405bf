// Command stand2 plays the cases of the second review: it starts the router of the deploy file with stand-ins of clients, replicas
// and the platform's store, and checks a rule of the users by what these have seen. It is built by review/build-2.sh.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun ends a case that goes on for too long.
const longestRun = 115 * time.Second

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by their names, and plays that review/REPORT-2.md tells of and that are no cases. trouble is whether the disruption is played.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"two-shared-parts": playTwoSharedParts,
	"idle-prober":      playIdleProber,
	"first-event":      playFirstEvent,
	"silent-store":     playSilentStore,
	"odd-entry":        playOddEntry,
	"many-parts":       playManyParts,
	"killed-blames":    playKilledBlames,
	"last-tenant":      playLastTenant,
	"slow-crowd":       playSlowCrowd,
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name, CASE FOLDER, and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand2 CASE FOLDER")
		return notRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(longestRun):
		}
		w.logf("not run to its end")
		w.close()
		os.Exit(notRun)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case broken:
		w.logf("rule broken")
		fmt.Println("rule broken")
		return ruleBroken
	default:
		w.logf("rule held")
		fmt.Println("rule held")
		return ruleHeld
	}
}
