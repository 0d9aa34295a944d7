// Command sequoiamill runs a node of the service mesh and provides the
// operator's commands.
//
// # Usage
//
//	sequoiamill demo
//	sequoiamill node --instance kol-1 --zone kolkata --platform http://127.0.0.1:8001
//	sequoiamill apply --admin 127.0.0.1:9001 --wait examples/board.yaml
package main

import (
	"os"
	_ "time/tzdata"

	"sequoiamill.example/sequoiamill/verbs"
)

func main() { os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr)) }
