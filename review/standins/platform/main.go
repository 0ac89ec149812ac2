package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns what breaks its rule.
var cases = map[string]func(*run) []string{
	"unreadable-report": unreadableReport,
	"truncated-answer":  truncatedAnswer,
	"unreadable-change": unreadableChange,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, daemon, recordPath string) (code int) {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	r, err := newRun(daemon, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	defer func() {
		if failure, ok := recover().(notRun); ok {
			r.note("the case could not run: %s", failure)
			code = exitNotRun
		}
	}()
	broken := play(r)
	r.stopStandIns()
	for _, b := range broken {
		r.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

// notRun is the panic of a case that could not run.
type notRun string

func require(ok bool, format string, args ...any) {
	if !ok {
		panic(notRun(fmt.Sprintf(format, args...)))
	}
}
