/** Scenario measurements of the decisions, with a virtual clock and a fixed seed. Not part of CI. */
package org.guavathread.bench;
