// Command _standin plays the review's scripted cases: it stands in for clients, servers and the
// platform, and starts the project's agents as processes.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases holds the scripted cases by name. Each returns whether the rule held.
var cases = map[string]func(s *site, trouble bool) (bool, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("agent", "target/yuccaport", "program of the agent")
	flag.Parse()
	os.Exit(play(*name, *file, *binary))
}

// play plays a case and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case
// could not run.
func play(name, file, binary string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	s, err := newSite(file, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	held, err := f(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if !held {
		s.rec.note("RULE BROKEN")
		return 1
	}
	s.rec.note("the rule held")
	return 0
}
