/** HTTP server for callers: reads requests without blocking, writes responses, streams and refusals. */
package org.guavathread.router.caller;
