#!/bin/sh
# The stand-ins of the cases 4 to 8 are plain modules without dependencies: nothing is compiled, they are only checked.
cd "$(dirname "$0")" || exit 2
for file in lib2/*.mjs [4-8]/*.mjs; do
    node --check "$file" || exit 1
done
