/** Requests of this host's own that load and compile the code of a request's path before callers depend on it. */
package org.guavathread.gateway.warmup;
