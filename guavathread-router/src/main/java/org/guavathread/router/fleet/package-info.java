/** This host's view of the fleet, and the membership duty that maintains it. */
package org.guavathread.router.fleet;
