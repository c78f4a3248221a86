/** Flags and environment variables of the daemon. */
package org.guavathread.gateway.settings;
