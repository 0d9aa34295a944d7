// Command standin plays the cases of the review: it starts the project's nodes as processes
// of their own, and stands in for the store, the targets and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by their name. Each returns how the rule was broken, or nothing.
var cases = map[string]func(rc *recorder, trouble bool) ([]string, error){
	"stop":   stopCase,
	"limit":  limitCase,
	"crowd":  crowdCase,
	"upload": uploadCase,
	// rollout is no case of the review: the report has its result.
	"rollout": rolloutCase,
	"hold":    holdCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	rc, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() {
		rc.note("the case took too long")
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](rc, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rc.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, line := range broken {
		rc.note("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	rc.note("the rule held")
	fmt.Println("the rule held")
}
