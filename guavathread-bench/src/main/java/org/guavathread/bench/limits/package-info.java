/** Simulates a fleet that enforces workspace limits, with a virtual clock, a faulty network and host faults. */
package org.guavathread.bench.limits;
