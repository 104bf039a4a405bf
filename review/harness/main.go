// Command harness runs one case of the review: it starts routers as separate processes with the
// command of the deploy file, plays the platform's store, the replicas and the clients on loopback
// addresses, disturbs them, and checks one rule by what clients, replicas and the store have seen.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 115 * time.Second

// scenario plays a case and returns what broke the rule, empty if nothing did. trouble is whether the
// disruption is played.
type scenario func(ctx context.Context, w *world, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"versions": playVersions,
	"revoke":   playRevoke,
	"bodies":   playBodies,
	"hup":      playHup,
	"takeups":  playTakeUps,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "`NAME` of the case")
	router := flag.String("router", "target/dunlinpulley-router", "`PATH` of the router")
	recordPath := flag.String("record", "record.txt", "`PATH` of the record")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w, err := newWorld(*router, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer w.close()
	broken, err := play(ctx, w, trouble)
	switch {
	case err != nil:
		w.record("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		w.record("broken: %s", broken)
		fmt.Printf("trouble=%v broken: %s\n", trouble, broken)
		return exitBroken
	default:
		w.record("held")
		fmt.Printf("trouble=%v held\n", trouble)
		return exitHeld
	}
}
