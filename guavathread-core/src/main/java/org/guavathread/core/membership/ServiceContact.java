package org.guavathread.core.membership;

import org.guavathread.core.id.HostId;

/**
 * The most recent successful read of the configuration service that a host knows of.
 *
 * @param reader the host that read it
 * @param ageMillis how long ago, in milliseconds
 */
public record ServiceContact(HostId reader, int ageMillis) {}
