#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The program of the project itself comes
# from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-harness ./review/_harness
