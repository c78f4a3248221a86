/** Deterministic choice of owners for a key. */
package org.guavathread.core.hash;
