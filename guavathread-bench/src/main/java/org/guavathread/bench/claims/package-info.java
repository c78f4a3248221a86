/** Fault schedules for claims on idempotency keys, run on a virtual clock. */
package org.guavathread.bench.claims;
