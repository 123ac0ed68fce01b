#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/figring target/review-2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2 takeover review/7
