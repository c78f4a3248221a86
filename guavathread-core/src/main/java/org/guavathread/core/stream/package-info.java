/** Framing of server-sent event streams. */
package org.guavathread.core.stream;
