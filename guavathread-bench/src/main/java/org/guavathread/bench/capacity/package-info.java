/** Cost per unit of state, messages and processor time, and their totals at the target size of the design. */
package org.guavathread.bench.capacity;
