#!/bin/sh
# Builds the stand-ins of the cases, which need the standard library alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/stand ./review/stand
