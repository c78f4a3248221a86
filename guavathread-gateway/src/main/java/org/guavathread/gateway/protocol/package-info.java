/** Interfaces that a platform implements to connect its wire formats and calls. They contain no routing decisions. */
package org.guavathread.gateway.protocol;
