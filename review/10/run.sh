#!/bin/sh
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/sapphirefall.cjs ] && [ -f target/review-2/10.mjs ] || exit 2
exec node target/review-2/10.mjs review/10
