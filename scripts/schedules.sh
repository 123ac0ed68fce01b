#!/usr/bin/env bash
# A long run of the drawn schedules: scripts/schedules.sh [checks] [seed]. The
# seed of a failed run is printed; give it again with the same number of checks.
set -euo pipefail
cd "$(dirname "$0")/.."
checks=${1:-20000}
seed=${2:-$(date +%s)}
if ! go test -count=1 -timeout=60m -run "^TestSchedules$" ./schedules -args -rapid.checks="$checks" -rapid.seed="$seed"; then
	echo "schedules failed: checks $checks, seed $seed"
	exit 1
fi
echo "schedules passed: checks $checks, seed $seed"
