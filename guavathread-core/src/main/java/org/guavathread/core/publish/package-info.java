/** Synchronisation with the read-only store that publishes the configuration and the backend servers. */
package org.guavathread.core.publish;
