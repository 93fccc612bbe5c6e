#!/bin/sh
# Builds the stand-ins that the run.sh of the cases 6 to 10 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o bin/stand-2 ./review/stand-2
