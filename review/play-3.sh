#!/bin/bash
# play-3.sh FOLDER CASE: plays a case and writes FOLDER/record.txt. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$1" && pwd)" || exit 2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/egretgate ] || [ ! -x target/review-3/rig ]; then
    echo "build first: the command in deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
RIG_FOLDER="$(mktemp -d)" || exit 2
export RIG_FOLDER
rig=
clean() {
    [ -n "$rig" ] && kill -KILL "$rig" 2>/dev/null
    # What the rig started and has not ended, if it was cut off.
    if [ -f "$RIG_FOLDER/ids" ]; then
        while read -r id; do
            if [ -e "/proc/$id/cmdline" ] &&
                tr '\0' ' ' <"/proc/$id/cmdline" | grep -q "egretgate gateway"; then
                kill -KILL "$id" 2>/dev/null
            fi
        done <"$RIG_FOLDER/ids"
    fi
    rm -rf "$RIG_FOLDER"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP
target/review-3/rig "$2" "$folder" &
rig=$!
wait "$rig"
code=$?
rig=
[ "$code" -le 1 ] || code=2
exit "$code"
