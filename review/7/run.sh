#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/persimmoncross && -x target/rig2 ]] || exit 2
exec target/rig2 -case evacuation -record review/7/record.txt
