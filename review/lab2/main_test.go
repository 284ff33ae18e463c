//go:build review

package lab2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// maxDuration bounds a run.
const maxDuration = 115 * time.Second

// cases are the scripts by name. Each returns what broke the rule; nothing if it held.
var cases = map[string]func(w *world, hasTrouble bool) []string{}

// TestMain runs the case that the first argument names. The second one is the file of its
// record.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab NAME RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit status: 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
func run(name, path string, hasTrouble bool) (status int) {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	defer func() {
		if p := recover(); p != nil {
			r.printf("the case could not run: %v", p)
			fmt.Println("could not run:", p)
			status = 2
		}
	}()
	w := newWorld(r)
	defer w.close()
	go endEarly(w)
	broken := play(w, hasTrouble)
	for _, b := range broken {
		r.printf("BROKEN %s", b)
	}
	fmt.Printf("%s, trouble %v: %d breaks\n", name, hasTrouble, len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return 1
	}
	r.printf("the rule held")
	return 0
}

// endEarly ends the processes of a case and the run, at a signal or once it lasts too long.
func endEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		w.printf("ended by the signal %v", s)
	case <-time.After(maxDuration):
		w.printf("ended after %s", maxDuration)
	}
	w.close()
	os.Exit(2)
}
