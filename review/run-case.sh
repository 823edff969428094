#!/usr/bin/env bash
# Runs one case of the stand-ins: run-case.sh CASE FOLDER. Exits with 0 if the rule held, 1 if it was
# broken, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
case=$1
out=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review/stand-ins
# The command of the deploy file.
GATEWAY=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
export GATEWAY
[ -x "$program" ] && [ -x "${GATEWAY%% *}" ] || { echo "not built" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
end() {
  # Only processes that this run started, by their ids.
  [ -f "$temporary/pids" ] && while read -r id; do kill -KILL "$id" 2>/dev/null; done < "$temporary/pids"
  [ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/
  rm -rf "$temporary"
}
trap end EXIT
timeout 110 "$program" "$case" "$out" "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
