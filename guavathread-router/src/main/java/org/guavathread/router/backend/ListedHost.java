package org.guavathread.router.backend;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * An entry of the platform's host list.
 *
 * @param id the host
 * @param leaving whether the platform is about to remove the host
 * @param address address of the host
 */
public record ListedHost(HostId id, boolean leaving, SocketAddressText address) {}
