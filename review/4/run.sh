#!/bin/sh
# Two machines are stopped in turn while clients that keep their addresses go on sending streams.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review StreamsAcrossStop review/4
