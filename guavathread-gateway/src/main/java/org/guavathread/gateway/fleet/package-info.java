/** Gossip between hosts, synchronisation of the published state, and engine role changes. */
package org.guavathread.gateway.fleet;
