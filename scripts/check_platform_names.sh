#!/usr/bin/env bash
# Fails where a name of the users' platform (platform/names.txt) stands in code outside platform/, so that only the adapter knows them.
set -euo pipefail
cd "$(dirname "$0")/.."
# A longer header of the product's own may end in the same word.
names=$(sed 's/\./\\./g' platform/names.txt | paste -sd '|')
found=$(git grep -nE "(^|[^A-Za-z_-])($names)([^A-Za-z_-]|\$)" -- 'libs/*.h' 'libs/*.cpp' 'tools/*.h' 'tools/*.cpp' 'fuzz/*.cpp' 'schema/*.fbs' || true)
if [ -n "$found" ]; then
    echo "names of the platform outside platform/:" >&2
    echo "$found" >&2
    exit 1
fi
echo "platform names: none outside platform/"
