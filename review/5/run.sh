#!/bin/sh
# A worker leaves, and says so in its answers, while the machine is partitioned from the store.
# With TROUBLE=0 it does the same without the disturbance.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review LeavingWorker review/5
