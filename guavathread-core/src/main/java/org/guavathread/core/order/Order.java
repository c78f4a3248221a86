package org.guavathread.core.order;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;

/**
 * An order to an engine.
 *
 * @param server the engine
 * @param fencing its number
 * @param action what to do
 * @param model the model; empty for a change of role
 * @param version the version of the model; empty unless the action is to load
 * @param role the role to take, or the one that the engine has
 */
public record Order(
        BackendServerId server,
        FencingNumber fencing,
        OrderAction action,
        String model,
        String version,
        BackendKind role) {}
