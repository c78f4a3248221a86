package org.guavathread.core.order;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;

/**
 * A control command to an engine.
 *
 * @param server the engine
 * @param fencing its fencing number
 * @param action the action to perform
 * @param model the model; empty for a change of role
 * @param version the version of the model; empty unless the action is to load
 * @param role the role to change to; for other actions, the current role of the engine
 */
public record Order(
        BackendServerId server,
        FencingNumber fencing,
        OrderAction action,
        String model,
        String version,
        BackendKind role) {}
