package stand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// scriptLimit is how long a script may run.
const scriptLimit = 115 * time.Second

// Outcome is what a script found.
type Outcome struct {
	Broken bool   // the rule was broken
	Text   string // what was seen
}

// Main runs a script with the program and the record that its flags name, and exits with the code of its outcome.
func Main(run func(ctx context.Context, options Options) (Outcome, error)) {
	var options Options
	flag.StringVar(&options.Program, "program", "target/pewtermill", "program under test")
	flag.StringVar(&options.Record, "record", "record.txt", "file for the record")
	flag.Parse()
	options.Trouble = os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	defer cancel()
	outcome, err := run(ctx, options)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(ExitInvalid)
	case outcome.Broken:
		fmt.Println("rule broken:", outcome.Text)
		os.Exit(ExitBroken)
	}
	fmt.Println("rule held:", outcome.Text)
}
