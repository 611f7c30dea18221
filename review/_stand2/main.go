// Command stand2 plays a small deployment of chiveramp on loopback for the cases of the second review: the
// platform's store, runners and requesters are stand-ins, each process of the system is the project's own.
//
//	stand2 store LISTEN CONTROL                 the platform's store; runners and the operator write over CONTROL
//	stand2 runner [flags]                       a runner
//	stand2 case NUMBER DAEMON FOLDER [TROUBLE]  plays a case and writes FOLDER/record.txt
package main

import (
	"fmt"
	"os"
	"strconv"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 store|runner|case ...")
		os.Exit(exitUnknown)
	}
	var err error
	code := exitHeld
	switch os.Args[1] {
	case "store":
		err = serveStore(os.Args[2], os.Args[3])
	case "runner":
		err = serveRunner(os.Args[2:])
	case "case":
		code, err = playCase(os.Args[2:])
	default:
		err = fmt.Errorf("unknown command %s", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand2:", err)
		os.Exit(exitUnknown)
	}
	os.Exit(code)
}

// cases are the plays by the number of the case's folder. They report whether the rule held.
var cases = map[int]func(s *site, trouble bool) (held bool, err error){}

func playCase(args []string) (int, error) {
	if len(args) < 3 {
		return exitUnknown, fmt.Errorf("usage: stand2 case NUMBER DAEMON FOLDER [TROUBLE]")
	}
	number, err := strconv.Atoi(args[0])
	play := cases[number]
	if err != nil || play == nil {
		return exitUnknown, fmt.Errorf("no case %s", args[0])
	}
	s, err := newSite(args[1], args[2])
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitUnknown, err
	}
	held, err := play(s, len(args) < 4 || args[3] != "0")
	if err != nil {
		s.note("could not run: %v", err)
		return exitUnknown, err
	}
	if held {
		s.note("the rule held")
		return exitHeld, nil
	}
	s.note("the rule was broken")
	return exitBroken, nil
}
