/** The single-threaded event loop that handles all requests. */
package org.guavathread.gateway.loop;
