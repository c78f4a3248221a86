/** Single-threaded duties with bounded inboxes, and the supervisor tree that restarts them. */
package org.guavathread.router.supervisor;
