/** Measurements of the decision logic in simulated scenarios, with a virtual clock and a fixed seed. Not part of CI. */
package org.guavathread.bench;
