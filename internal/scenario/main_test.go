// Package scenario runs scripted scenarios against real processes: daemons,
// stand-in backend servers and the command-line tool, with kills, freezes and
// operator commands in between. The scripts are in testdata. They wait for
// conditions and measure no times; the benchmark of this package does.
package scenario

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/cli"
	"github.com/agatestep/agatestep/internal/daemoncli"
	"github.com/agatestep/agatestep/internal/standin/standincli"
	"github.com/agatestep/agatestep/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"agatestep":         func() { os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
		"agatestepd":        func() { os.Exit(daemoncli.Run(os.Args[1:], platform.Adapter{})) },
		"agatestep-standin": func() { os.Exit(standincli.Run(os.Args[1:])) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, scriptParams("testdata"))
}

func scriptParams(dir string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: setupCluster,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"identities":    cmdIdentities,
			"start":         cmdStart,
			"up":            cmdUp,
			"backend":       cmdBackend,
			"signal":        cmdSignal,
			"request":       cmdRequest,
			"await":         cmdAwait,
			"served":        cmdServed,
			"load":          cmdLoad,
			"judge":         cmdJudge,
			"control-host":  cmdControlHost,
			"balanced":      cmdBalanced,
			"dispatcher":    cmdDispatcher,
			"wipe":          cmdWipe,
			"replace":       cmdReplace,
			"idle":          cmdIdle,
			"busy":          cmdBusy,
			"churn":         cmdChurn,
			"same-revision": cmdSameRevision,
			"judge-uncut":   cmdJudgeUncut,
			"hold-upload":   cmdHoldUpload,
			"end-uploads":   cmdEndUploads,
			"hold-request":  cmdHoldRequest,
			"cut-short":     cmdCutShort,
			"end-requests":  cmdEndRequests,
			"fault":         cmdFault,
			"replica-of":    cmdReplicaOf,
			"race":          cmdRace,
			"quiet":         cmdQuiet,
		},
	}
}
