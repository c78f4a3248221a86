/** At most one run of a request that carries an idempotency key, decided by votes of a few hosts. */
package org.guavathread.core.claim;
