//go:build review

// Package lab3 plays the scripts of the third review. build-3.sh builds it as a program:
// lab3.test CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package lab3

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// trouble reports whether the disruptions are played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// isPlayed reports whether one of several disruptions is played. ONLY leaves out all others; it is
// for trials and not used by the scripts.
func isPlayed(name string) bool {
	only := os.Getenv("ONLY")
	return trouble() && (only == "" || only == name)
}

// cases return whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"drill":  removedKeyInDrill,
	"turned": turnedAwayInDrill,
	"added":  addedEntries,
	"reload": reloadBudget,
	"stuck":  stuckWatch,
}

func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3.test CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	time.AfterFunc(timeLimit, func() {
		w.logf("could not run: not over after %s", timeLimit)
		w.close()
		os.Exit(2)
	})
	w.logf("case %s, disruption %t", name, trouble())
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		w.logf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.logf("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
