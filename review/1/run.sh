#!/bin/sh
# Case 1. TROUBLE=0 leaves the bad clients out.
cd "$(dirname "$0")" || exit 2
exec java -Xmx1g -cp ../target review.Flood "$(cd ../.. && pwd)" "$(pwd)/record.txt" "${TROUBLE:-1}"
