/** The clock of the I/O code; decision logic gets the time as a parameter. */
package org.guavathread.core.time;
