package org.guavathread.core.registry;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * A backend server as it registered itself.
 *
 * @param id its id
 * @param service the service that it belongs to
 * @param address address on which it listens
 * @param dataCentre the data centre in which it runs
 * @param slots maximum number of concurrent requests
 * @param draining whether it announced its shutdown
 * @param stage stage of a language request that it executes
 * @param softwareVersion version of its software
 * @param startedAtMillis start time of its process, in milliseconds since the epoch by its own clock; 0 if not given
 * @param coldUntilMillis time of this host's clock until which it is cold by its own statement; 0 if it is warm
 */
public record Worker(
        BackendServerId id,
        ServiceName service,
        SocketAddressText address,
        DataCentreId dataCentre,
        int slots,
        boolean draining,
        EngineStage stage,
        SoftwareVersion softwareVersion,
        long startedAtMillis,
        long coldUntilMillis) {

    /** Creates the entry of a server that does not state that it is cold. */
    public Worker(
            BackendServerId id,
            ServiceName service,
            SocketAddressText address,
            DataCentreId dataCentre,
            int slots,
            boolean draining,
            EngineStage stage,
            SoftwareVersion softwareVersion,
            long startedAtMillis) {
        this(id, service, address, dataCentre, slots, draining, stage, softwareVersion, startedAtMillis, 0);
    }

    /**
     * Returns the process that wrote this entry.
     *
     * @return the process
     */
    public ServerProcess process() {
        return new ServerProcess(id, startedAtMillis);
    }

    /**
     * Returns what is known of a process that answers in place of the one that wrote this entry.
     *
     * @param nextStartedAtMillis start time of the answering process
     * @param nextStage its stage
     * @return an entry whose software version is not known
     */
    public Worker replacedBy(long nextStartedAtMillis, EngineStage nextStage) {
        return new Worker(
                id,
                service,
                address,
                dataCentre,
                slots,
                draining,
                nextStage,
                SoftwareVersion.unknownOf(new ServerProcess(id, nextStartedAtMillis)),
                nextStartedAtMillis,
                coldUntilMillis);
    }

    /**
     * Returns a copy of this entry of which the shutdown is announced.
     *
     * @return the copy
     */
    public Worker leaving() {
        return new Worker(
                id,
                service,
                address,
                dataCentre,
                slots,
                true,
                stage,
                softwareVersion,
                startedAtMillis,
                coldUntilMillis);
    }

    /**
     * Returns a copy of this entry of a server that is cold.
     *
     * @param untilMillis time of this host's clock until which it is cold; 0 if it is warm
     * @return the copy
     */
    public Worker coldUntil(long untilMillis) {
        return new Worker(
                id,
                service,
                address,
                dataCentre,
                slots,
                draining,
                stage,
                softwareVersion,
                startedAtMillis,
                untilMillis);
    }

    /**
     * Tells whether another entry describes the same server in the same state, but for how long it is cold.
     *
     * @param other the other entry
     * @return true if it does
     */
    public boolean isSameButForCold(Worker other) {
        return coldUntil(0).equals(other.coldUntil(0));
    }
}
