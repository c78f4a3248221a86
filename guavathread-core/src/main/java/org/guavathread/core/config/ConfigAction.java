package org.guavathread.core.config;

import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SheetManifest;

/** What the daemon is to do for the configuration. */
public sealed interface ConfigAction {

    /**
     * Call the configuration service and pass the answer to {@link ConfigSpread#onServiceAnswer}.
     *
     * @param after the newest version that is known; {@link SheetVersion#NONE} for a plain read
     * @param waitMillis how long the service may wait for a newer one, in milliseconds; 0 for a plain read
     */
    record ReadService(SheetVersion after, int waitMillis) implements ConfigAction {}

    /**
     * Read the parts of a manifest and pass them to {@link ConfigSpread#onServiceParts}.
     *
     * @param manifest the manifest
     */
    record ReadParts(SheetManifest manifest) implements ConfigAction {}

    /**
     * Send a message to a peer.
     *
     * @param to the peer
     * @param message the message
     */
    record Send(HostId to, PeerMessage message) implements ConfigAction {}

    /**
     * Hand the sheet to all duties, write the audit record, or report the refusal.
     *
     * @param acceptance what became of a sheet; never {@link Acceptance.NotNewer}
     */
    record Report(Acceptance acceptance) implements ConfigAction {}

    /**
     * Gives the messages among actions.
     *
     * @param actions actions
     * @return the sends in their order
     */
    static List<Send> sends(List<ConfigAction> actions) {
        return actions.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .toList();
    }
}
