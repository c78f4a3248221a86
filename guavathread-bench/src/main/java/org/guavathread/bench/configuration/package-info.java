/** Simulated fleet for membership and configuration, with a virtual clock, and the measurement that uses it. */
package org.guavathread.bench.configuration;
