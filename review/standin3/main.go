// Command standin3 plays the cases of the review: it starts hosts of the system as
// processes, and stand-ins for the platform's store, the workers and the clients.
//
//	standin3 CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases maps the names of the cases to their functions. With trouble false they leave
// the disruption out.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"snapshot-without-end":  snapshotWithoutEnd,
	"pending-after-refusal": pendingAfterRefusal,
	"pace-answer-lost":      paceAnswerLost,
	"smaller-host":          smallerHost,
	"lost-worker":           lostWorkerBlocksAll,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	v, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}
