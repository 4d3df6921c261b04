// Command petrelstep is the command line for operators and callers.
package main

import (
	"os"

	"petrelstep/commands"
)

func main() { os.Exit(commands.Run()) }
