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
        long startedAtMillis) {

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
                nextStartedAtMillis);
    }

    /**
     * Returns a copy of this entry of which the shutdown is announced.
     *
     * @return the copy
     */
    public Worker leaving() {
        return new Worker(id, service, address, dataCentre, slots, true, stage, softwareVersion, startedAtMillis);
    }
}
