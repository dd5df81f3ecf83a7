#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/12.mjs ] && [ -f target/sapphirefall.cjs ] || exit 2
node target/review-3/12.mjs
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
