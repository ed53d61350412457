#!/bin/sh
# Case 1. TROUBLE=0 leaves the jump in traffic out.
cd "$(dirname "$0")" || exit 2
exec java -Xmx1g -cp ../target review.Burst "$(cd ../.. && pwd)" "$(pwd)/record.txt" "${TROUBLE:-1}"
