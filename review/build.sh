#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-cases ./review/cases
