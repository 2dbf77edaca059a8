// Command caraway is the command-line client for operators and callers.
package main

import (
	"os"

	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/root"
)

func main() { os.Exit(root.Run(deps.StdStreams(), os.Args[1:])) }
