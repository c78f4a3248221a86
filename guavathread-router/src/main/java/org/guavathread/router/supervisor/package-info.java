/** Threads with one duty each, their bounded inboxes, and the tree that restarts them. */
package org.guavathread.router.supervisor;
