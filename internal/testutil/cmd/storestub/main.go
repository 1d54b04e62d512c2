// Command storestub serves the stand-in of the platform's store for tests. It
// prints the address that it listens on and runs until it is stopped.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/storestub"
)

const headerTimeout = 5 * time.Second

func main() {
	app := kingpin.New("storestub", "Stand-in of the platform's store, for tests.")
	address := app.Flag("listen", "IP address and port to listen on.").Default("127.0.0.1:0").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	listener, err := net.Listen("tcp", *address)
	app.FatalIfError(err, "cannot listen on %s", *address)
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: storestub.New(), ReadHeaderTimeout: headerTimeout}
	app.FatalIfError(server.Serve(listener), "cannot serve")
}
