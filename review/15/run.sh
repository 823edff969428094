#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x target/release/egretgate ] || [ ! -x target/review-3/rig ]; then
    echo "build first: the command in deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
exec target/review-3/rig quota "$folder"
