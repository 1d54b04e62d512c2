#!/bin/sh
# Builds the stand-ins of the scripts under review/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/stand
