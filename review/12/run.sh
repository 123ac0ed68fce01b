#!/bin/sh
# Plays case 12. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec ./target/review-3 -case old-end -dir review/12 -binary target/figring
