//go:build review

// Package cases holds the review cases and the stand-ins that they share: the platform's
// store, back ends that speak raw HTTP/1.1, engines, and the processes of the product on
// loopback addresses. It is built as a test binary, as review/build.sh does, since other
// files may not contain names of the platform.
package cases

import (
	"fmt"
	"os"
	"testing"
)

// TestMain runs the case that the first argument names. The second one is the folder of
// its record.
func TestMain(*testing.M) {
	cases := map[string]func(dir string) (int, error){
		"emptystream": runEmptyStream,
		"latego":      runLateGo,
		"sharedpart":  runSharedPart,
		"unsigned":    runUnsigned,
	}
	if os.Args[1] == "model-server" {
		code, err := serveModel(os.Args[2], os.Args[3])
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(NotRun)
	}
	code, err := run(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
