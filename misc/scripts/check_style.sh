#!/usr/bin/env bash
# Checks format and lint of all sources. Needs a configured build folder (for
# compile_commands.json). --format-only skips the linter.
set -euo pipefail
cd "$(dirname "$0")/../.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc')
clang-format --dry-run --Werror "${files[@]}"
misc/scripts/check_platform_names.sh
[ "${1:-}" != "--format-only" ] || exit 0
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' | grep -v '^tests/fuzz/')
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2> /dev/null
