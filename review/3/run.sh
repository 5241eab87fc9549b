#!/usr/bin/env bash
# Plays case 3. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
[ -x target/review-standin ] || exit 2
exec target/review-standin -case forever -trouble=$trouble -program target/basilnode -record review/3/record.txt
