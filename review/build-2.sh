#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The build line of deploy/system.toml comes first.
cd "$(dirname "$0")/.." && go build -trimpath -ldflags=-linkmode=external -o target/review-2 ./review/_harness2
