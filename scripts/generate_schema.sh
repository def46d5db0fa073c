#!/usr/bin/env bash
# Regenerates the committed code of schema/*.fbs; needs flatbuffers-compiler (the build does not).
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --gen-object-api --cpp-std c++17 --filename-suffix _generated \
    -o libs/wire/include/wire/generated schema/messages.fbs schema/peer_state.fbs
if [ -f schema/settings.fbs ]; then
    flatc --cpp --scoped-enums --gen-object-api --cpp-std c++17 --reflect-names --filename-suffix _generated \
        -o libs/settings/include/settings/generated schema/settings.fbs
fi
