#!/usr/bin/env bash
# All servers lose part of their answers for 4 s; requests that are all alike are refused long after.
# TROUBLE=0 runs the same without the disruption.
export TROUBLE=${TROUBLE:-1}
exec bash "$(dirname "$0")/../run-case.sh" grey "$(dirname "$0")"
