#!/usr/bin/env bash
# Runs the property tests of package schedules with many random schedules.
# Usage: scripts/schedules.sh [checks] [seed]. To repeat a failed run, pass the
# printed seed and the same number of checks.
set -euo pipefail
cd "$(dirname "$0")/.."
checks=${1:-20000}
seed=${2:-$(date +%s)}
if ! go test -count=1 -timeout=60m -run "^TestSchedules$" ./schedules -args -rapid.checks="$checks" -rapid.seed="$seed"; then
	echo "schedules failed: checks $checks, seed $seed"
	exit 1
fi
echo "schedules passed: checks $checks, seed $seed"
