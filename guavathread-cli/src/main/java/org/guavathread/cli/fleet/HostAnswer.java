package org.guavathread.cli.fleet;

import org.guavathread.core.sheet.SocketAddressText;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Result of a query to the admin port of one host.
 *
 * @param address the admin address that was queried
 * @param body the answer; a missing node if there is none
 * @param failure why there is no answer; empty if there is one
 */
record HostAnswer(SocketAddressText address, JsonNode body, String failure) {

    static HostAnswer of(SocketAddressText address, JsonNode body) {
        return new HostAnswer(address, body, "");
    }

    static HostAnswer failed(SocketAddressText address, String failure) {
        return new HostAnswer(address, MissingNode.getInstance(), failure);
    }

    boolean isAnswered() {
        return failure.isEmpty();
    }
}
