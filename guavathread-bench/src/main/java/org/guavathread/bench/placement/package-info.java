/** Placement against fake engines on a virtual clock, compared with simpler policies and an omniscient queue. */
package org.guavathread.bench.placement;
