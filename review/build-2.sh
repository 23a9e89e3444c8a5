#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need no module beyond the
# standard library.
set -eu
cd "$(dirname "$0")/standins-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-2 .
