// Command petrelstep is the operators' and callers' command line.
package main

import (
	"os"

	"petrelstep/commands"
)

func main() { os.Exit(commands.Run()) }
