#!/bin/sh
# Builds the program of the third review's cases, with all stand-ins that they start.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-3 ./review/_harness3/
