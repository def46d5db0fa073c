#!/usr/bin/env bash
# A machine freezes for 0.3 s while a few of its clients leave; afterwards the service is never used again.
# Writes record.txt beside this file. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.."
[ -x target/bin/carawaylinkd ] && [ -x target/review/short_freeze ] || { echo "build first: the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
RECORD=review/2/record.txt exec target/review/short_freeze
