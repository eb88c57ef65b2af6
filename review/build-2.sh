#!/usr/bin/env bash
# Prepares what the scripts of cases 4 to 8 start. Their stand-ins are plain
# modules in review/lib-2 that need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
