/** The published configuration, as used for routing: routes, services, workspaces and limits. */
package org.guavathread.core.routing;
