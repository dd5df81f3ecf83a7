#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js: nothing is compiled. Checks that all of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
	node --check "$file"
done
