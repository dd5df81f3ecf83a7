#!/usr/bin/env bash
# Builds the cases of the third review and every stand-in that they start into target/review-3/, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/1[1-5]; do
	[ -f "$case/case.mjs" ] || continue
	node_modules/.bin/esbuild "$case/case.mjs" --bundle --platform=node --format=esm --target=node20 \
		--outfile="target/review-3/${case##*/}.mjs" --log-level=warning \
		--banner:js='import {createRequire} from "node:module"; import.meta.dirname ??= new URL(".", import.meta.url).pathname; const require = createRequire(import.meta.url);'
done
