#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node.js and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/test.mjs; do node --check "$file"; done
