#!/usr/bin/env bash
# A replica answers with bytes without end; the machine's process exceeds its memory.
# Writes record.txt beside this file. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.."
[ -x target/bin/carawaylinkd ] && [ -x target/review/endless_answer ] || { echo "build first: the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
RECORD=review/3/record.txt exec target/review/endless_answer
