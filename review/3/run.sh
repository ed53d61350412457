#!/bin/sh
# Case 3. TROUBLE=0: the clients go without sending anything behind their request.
cd "$(dirname "$0")" || exit 2
exec java -Xmx1g -cp ../target review.Gone "$(cd ../.. && pwd)" "$(pwd)/record.txt" "${TROUBLE:-1}"
