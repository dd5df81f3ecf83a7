#!/bin/sh
# Bundles the cases of the second review, with the stand-ins that they start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-audit --no-fund --silent
for file in review/[0-9]*/case.mjs; do
	number=$(basename "$(dirname "$file")")
	npx esbuild "$file" --bundle --platform=node --format=esm --target=node20 --outfile="target/review-2/$number.mjs" --log-level=warning
done
