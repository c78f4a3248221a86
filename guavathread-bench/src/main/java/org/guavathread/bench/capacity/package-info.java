/** Slopes of state, messages and processor time, and what they add up to at the size that the design is made for. */
package org.guavathread.bench.capacity;
