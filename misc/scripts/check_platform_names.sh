#!/usr/bin/env bash
# Fails when a source outside platform/ spells a name of the users' platform:
# its headers, paths, fields or the variable that names its settings file.
set -euo pipefail
cd "$(dirname "$0")/../.."
names='kv-(key|range|watch)|/-/(ready|resolve)|Response-Seal|Not-Executed|Expect-Instance|Server-Load|Papayakeel-Instance-Id|Store-Era'
names+='|traffic_split|warmup_(left|per_s)|Warmup-Ms|route_kind|health_path|max_conns|op/(config|evacuate)|PAPAYAKEEL_BOOT|stale_ok|port_range|addr_reuse'
if git grep -nE "$names" -- core drivers main modules servers '*.cc' '*.h' ':!platform' ':!tests/platform' ':!misc'; then
  echo "names of the platform belong into platform/" >&2
  exit 1
fi
