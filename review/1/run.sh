#!/bin/sh
# A burst of requests with bodies in chunks, which arrive in several segments.
# With TROUBLE=0 it does the same without the disturbance.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review SegmentedBodies review/1
