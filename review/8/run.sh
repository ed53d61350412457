#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f mixer/target/gingerring.jar ] && [ -d review/standin-2/target ] || { echo "build first, as REPORT-2.md says" >&2; exit 2; }
exec java -Xmx256m -cp review/standin-2/target Foreign review/8/record.txt
