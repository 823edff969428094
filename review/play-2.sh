#!/bin/sh
# play-2.sh FOLDER CASE: plays a case and writes FOLDER/record.txt.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/release/egretgate ] || [ ! -x target/review-2/bed-2 ]; then
    echo "build first: the command in deploy/system.toml, then sh review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
clean() {
    # Processes that the case has left, if it was cut off.
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do
            if [ -e "/proc/$pid/cmdline" ] && tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q "egretgate gateway"; then
                kill -9 "$pid" 2>/dev/null
            fi
        done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap 'clean; exit 2' INT TERM HUP
RECORD="$folder/record.txt" BED_TMP="$temporary" TROUBLE="${TROUBLE:-1}" \
    timeout 115 target/review-2/bed-2 "$2"
result=$?
clean
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
