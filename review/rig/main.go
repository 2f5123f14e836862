// Command rig plays the cases of this review: it starts the programs of the deploy file on loopback addresses, with stand-ins for
// consumers, backend servers and the operator, and tells whether a rule was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// limit is how long a case may take.
const limit = 115 * time.Second

// verdict is the outcome of a case: whether the rule was broken, and what was seen.
type verdict struct {
	broken bool
	seen   string
}

var cases = map[string]func(ctx context.Context, rec *record, trouble bool) (verdict, error){
	"reborn":    reborn,
	"takeback":  takeback,
	"withdrawn": withdrawn,
	"shrunk":    shrunk,
	"former":    former,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return couldNot
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go endEarly(ctx)
	trouble := os.Getenv("TROUBLE") != "0"
	v, err := cases[os.Args[1]](ctx, rec, trouble)
	switch {
	case err != nil:
		rec.add("verdict", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	case v.broken:
		rec.add("verdict", "broken: %s", v.seen)
		fmt.Println("broken:", v.seen)
		return broken
	}
	rec.add("verdict", "held: %s", v.seen)
	fmt.Println("held:", v.seen)
	return held
}

// endEarly ends all processes of a case that is stopped from outside or takes too long.
func endEarly(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-ctx.Done():
		if ctx.Err() == context.Canceled {
			return
		}
	}
	if d := current.Load(); d != nil {
		d.stop()
	}
	os.Exit(couldNot)
}
