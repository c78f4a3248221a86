/**
 * The decisions of the router. Each decision class takes events and the current time and returns actions; it reads no
 * clock, opens no socket and starts no thread.
 */
package org.guavathread.core;
