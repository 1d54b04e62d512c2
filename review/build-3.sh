#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/stand ./review/stand-3
