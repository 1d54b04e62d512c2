#!/bin/sh
# Generates the Go code of the protobuf messages with the protoc-gen-go that go.mod pins.
set -eu
cd "$(dirname "$0")"
plugin_dir=$(mktemp -d)
trap 'rm -rf "$plugin_dir"' EXIT
go build -o "$plugin_dir/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$plugin_dir:$PATH" protoc --go_out=. --go_opt=paths=source_relative ./*.proto
