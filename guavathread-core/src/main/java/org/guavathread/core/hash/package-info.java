/** Deterministic choice of the owners of a key by rendezvous hashing. */
package org.guavathread.core.hash;
