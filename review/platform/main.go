package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name. Each reports whether the rule was broken; trouble tells
// whether to inject the disruption.
var cases = map[string]func(rec *record, root string, trouble bool) (broken bool, err error){
	"late-restore":        lateRestore,
	"hangup":              hangupInStop,
	"late-after-election": lateAfterElection,
	"late-report":         lateReport,
	"foreign-report":      foreignReport,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-platform CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go endOnSignalOrTimeout(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", name, trouble)
	broken, err := cases[name](rec, root, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was BROKEN")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// maxRunTime is below the time that a script may take.
const maxRunTime = 110 * time.Second

// endOnSignalOrTimeout ends the processes that were started if the case is interrupted or takes
// too long.
func endOnSignalOrTimeout(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		rec.say("interrupted: %v", s)
	case <-time.After(maxRunTime):
		rec.say("not finished after %v", maxRunTime)
	}
	killStarted()
	os.Exit(exitNotRun)
}
