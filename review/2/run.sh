#!/bin/sh
# Case 2. TROUBLE=0 leaves the spoilt answers out.
cd "$(dirname "$0")" || exit 2
exec java -Xmx1g -cp ../target review.Spoilt "$(cd ../.. && pwd)" "$(pwd)/record.txt" "${TROUBLE:-1}"
