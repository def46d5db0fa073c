#!/usr/bin/env bash
# A tenant sends more than its quota while its limit is lowered and raised again (change), or while all processes are killed (kill).
# Usage: run.sh [change|kill]. Writes a record beside this file. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../../.."
[ -x target/bin/carawaylinkd ] && [ -x target/review/quota ] || { echo "build first: the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
RECORD=review/extra/quota/record-${1:-change}.txt exec target/review/quota "${1:-change}"
