#!/usr/bin/env bash
# Checks formatting and naming. Usage: scripts/check_style.sh [--fix] [--format-only]
set -euo pipefail
cd "$(dirname "$0")/.."
fix=no
format_only=no
for argument in "$@"; do
    case "$argument" in
    --fix) fix=yes ;;
    --format-only) format_only=yes ;;
    *) echo "unknown argument $argument" >&2; exit 2 ;;
    esac
done
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v _generated)
if [ "$fix" = yes ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
[ "$format_only" = yes ] && exit 0
# clang-tidy cannot read the compiler's precompiled headers, and sources include what they need without them.
mkdir -p build/tidy
sed -E 's/-Winvalid-pch//g; s/-include [^ "]*cmake_pch\.hxx//g' build/compile_commands.json >build/tidy/compile_commands.json
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep -E '(^|/)src/.*\.cpp$|^tools/.*\.cpp$' || true)
[ "${#sources[@]}" -eq 0 ] && exit 0
printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -n 1 clang-tidy-16 -p build/tidy --quiet --extra-arg=-Wno-unknown-warning-option \
        2> >(grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter|errors? generated' >&2 || true)
