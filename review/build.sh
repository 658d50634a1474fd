#!/bin/sh
# The stand-ins are plain modules of Node and run without a build; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
    node --check "$file"
done
