package main

import (
	"context"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutcourse/chestnutcourse/internal/loadtool"
)

func registerLoad(app *kingpin.Application, s *session) {
	spec := &loadtool.Spec{}
	var headers []string
	command := app.Command("load", "Send open-loop load to entries, with a bound on requests in flight, and print latencies, outcomes and the imbalance of targets.")
	addLoadFlags(command, spec, &headers)
	command.Action(func(*kingpin.ParseContext) error {
		for _, line := range headers {
			header, err := loadtool.ParseHeader(line)
			if err != nil {
				return err
			}
			spec.Headers = append(spec.Headers, header)
		}
		result, err := loadtool.Run(context.Background(), *spec)
		if err != nil {
			return err
		}
		return s.print(result, func(w io.Writer) { result.Print(w) })
	})
}

func addLoadFlags(command *kingpin.CmdClause, spec *loadtool.Spec, headers *[]string) {
	command.Flag("entry", "Base URL of an entry; repeat it to use several in turn.").Required().StringsVar(&spec.Entries)
	command.Flag("rate", "Requests per second.").Default("100").Float64Var(&spec.Rate)
	command.Flag("duration", "How long requests are generated.").Default("10s").DurationVar(&spec.Duration)
	command.Flag("keys", "Number of distinct keys.").Default("1000").IntVar(&spec.Keys)
	command.Flag("skew", "Exponent of the Zipf distribution of keys; 0 makes all keys equally frequent.").Default("0").Float64Var(&spec.Skew)
	command.Flag("key-prefix", "Prefix of every key.").Default("key-").StringVar(&spec.KeyPrefix)
	command.Flag("method", "HTTP method.").Default(http.MethodGet).StringVar(&spec.Method)
	command.Flag("path", "Path and query; "+loadtool.KeyPlaceholder+" stands for the key.").Required().StringVar(&spec.Path)
	command.Flag("header", `Header line "Name: value"; `+loadtool.KeyPlaceholder+" stands for the key. Repeat it for more headers.").StringsVar(headers)
	command.Flag("body-bytes", "Length of the body of each request in bytes.").Default("0").IntVar(&spec.BodyBytes)
	command.Flag("request-timeout", "Timeout of one request.").Default("10s").DurationVar(&spec.Timeout)
	command.Flag("in-flight", "Maximum number of requests in flight; requests that become due beyond it are not sent.").Default("256").IntVar(&spec.MaxInFlight)
	command.Flag("target-header", "Response header that names the target, to compute the imbalance.").StringVar(&spec.TargetHeader)
	command.Flag("seed", "Seed of the random sequence of keys.").Default("1").Uint64Var(&spec.Seed)
}
