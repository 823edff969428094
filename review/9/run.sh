#!/bin/sh
# Plays the case that claim.txt tells: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. With TROUBLE=0 the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../play-2.sh" "$(dirname "$0")" dark-poison
