/** The HTTP side towards callers: reads requests without blocking, writes answers, streams and refusals. */
package org.guavathread.router.caller;
