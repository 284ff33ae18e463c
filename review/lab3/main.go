//go:build review

// Command lab3 plays the scripts of the third review: lab3 CASE RECORD. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*world) (bool, error){
	"unsigned": unsignedSuccess,
	"reload":   reloadBudget,
	"added":    addedEntries,
	"drill":    removedKeyInDrill,
	"turned":   turnedAwayInDrill,
	"version":  wantedVersion,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
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
