/** The interface through which shells read the time; decisions get the time as an argument. */
package org.guavathread.core.time;
