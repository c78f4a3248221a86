package org.guavathread.core.registry;

import org.guavathread.core.id.BackendServerId;

/**
 * One process of a backend server. A server that starts again may keep its id and address; what is known of its former
 * process says nothing about the new one.
 *
 * @param server the server
 * @param startedAtMillis start time of the process, in milliseconds since the epoch by the server's clock; 0 if not known
 */
public record ServerProcess(BackendServerId server, long startedAtMillis) {}
