/** The non-blocking structured decision log, and metrics. */
package org.guavathread.gateway.log;
