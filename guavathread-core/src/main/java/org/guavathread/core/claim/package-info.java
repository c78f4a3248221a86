/** Runs each request with an idempotency key at most once, by majority votes of a few hosts. */
package org.guavathread.core.claim;
