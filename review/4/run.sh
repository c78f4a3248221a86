#!/bin/sh
# Two machines are stopped in turn while clients that keep their addresses go on sending streams.
# With TROUBLE=0 it does the same without the disturbance.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review StreamsAcrossStop review/4
