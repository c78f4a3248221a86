package org.guavathread.core.config;

import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SheetManifest;

/** An action that the daemon must take for {@link ConfigDistributor}. */
public sealed interface ConfigAction {

    /**
     * Calls the configuration service and passes the answer to {@link ConfigDistributor#onServiceAnswer}.
     *
     * @param after the newest known version; {@link SheetVersion#NONE} for a plain read
     * @param waitMillis how long the service may wait for a newer version, in milliseconds; 0 for a plain read
     */
    record ReadService(SheetVersion after, int waitMillis) implements ConfigAction {}

    /**
     * Reads the parts of a manifest and passes them to {@link ConfigDistributor#onServiceParts}.
     *
     * @param manifest the manifest
     */
    record ReadParts(SheetManifest manifest) implements ConfigAction {}

    /**
     * Sends a message to a peer.
     *
     * @param to the peer
     * @param message the message
     */
    record Send(HostId to, PeerMessage message) implements ConfigAction {}

    /**
     * Hands the sheet to all duties and writes the audit record, or reports the refusal.
     *
     * @param acceptance the result of offering a sheet; never {@link Acceptance.NotNewer}
     */
    record Report(Acceptance acceptance) implements ConfigAction {}

    /**
     * Returns the messages among actions.
     *
     * @param actions actions
     * @return the send actions, in the given order
     */
    static List<Send> sends(List<ConfigAction> actions) {
        return actions.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .toList();
    }
}
