/** What this host knows about the fleet, and how it learns it. */
package org.guavathread.router.fleet;
