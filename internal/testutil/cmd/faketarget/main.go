// Command faketarget runs a fake target as a process of its own, for tests.
//
// It prints its address on a line of its own once it listens, and serves until
// it is killed.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "loopback address to listen on")
	document := flag.String("settings", "{}", "settings as JSON")
	flag.Parse()
	if err := run(*listen, *document); err != nil {
		fmt.Fprintln(os.Stderr, "faketarget:", err)
		os.Exit(1)
	}
}

func run(listen, document string) error {
	var settings faketarget.Settings
	if err := json.Unmarshal([]byte(document), &settings); err != nil {
		return fmt.Errorf("settings are not valid JSON: %w", err)
	}
	// A process is an incarnation of its own, also if the settings are reused.
	settings.Incarnation = fmt.Sprintf("%s-%d-%d", settings.Incarnation, os.Getpid(), time.Now().UnixNano())
	server, err := faketarget.Listen(listen, settings)
	if err != nil {
		return err
	}
	fmt.Println(server.Address())
	server.Wait()
	return nil
}
