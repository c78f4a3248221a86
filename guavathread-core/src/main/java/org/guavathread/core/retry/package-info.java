/** Failures of backend servers: retry budget, resumption of streams, and refusal of requests that crash servers. */
package org.guavathread.core.retry;
