#!/bin/sh
# The stand-ins are JavaScript without dependencies, so they need no build. This
# only checks that Node can read them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
