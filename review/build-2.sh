#!/bin/sh
# Builds the stand-ins of review/6 and later: the store, the servers, the clients and the relays
# are one program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/stand ./review/stand-2
