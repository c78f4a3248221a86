/** Simulates placement on fake engines with a virtual clock, compared with simpler policies and an omniscient queue. */
package org.guavathread.bench.placement;
