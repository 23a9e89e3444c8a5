#!/bin/sh
# Builds the stand-ins of the third review into target/review-3.
set -e
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/standins3 .
