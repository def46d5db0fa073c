#!/usr/bin/env bash
# Replicas spoil a few of their streams; processes crash.
# Writes record.txt beside this file. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.."
[ -x target/bin/carawaylinkd ] && [ -x target/review/garbled_stream ] || { echo "build first: the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
RECORD=review/1/record.txt exec target/review/garbled_stream
