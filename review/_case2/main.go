// Command case2 holds the scripts of the review and their stand-ins: the platform with its operator and clients in one
// process, and a replica as a process of its own. It is built by review/build-2.sh and is no part of the product.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	recordFile  = "record.txt"
	edgeProgram = "target/peridotknot-edge"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: case2 replica|NAME")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2:]))
	}
	script, found := scripts[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such script:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runScript(script))
}

// scripts are the scripts by name.
var scripts = map[string]func(w *world) (broken bool, err error){
	"lost":      lost,
	"truncated": truncated,
	"encoded":   encoded,
	"crowd":     crowd,
	"drill":     drill,
	"tenants":   tenants,
	"timeout":   raisedTimeout,
	"upload":    upload,
}
