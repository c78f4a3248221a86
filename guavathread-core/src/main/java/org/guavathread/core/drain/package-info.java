/** Graceful shutdown of a host, without aborting requests before the drain deadline. */
package org.guavathread.core.drain;
