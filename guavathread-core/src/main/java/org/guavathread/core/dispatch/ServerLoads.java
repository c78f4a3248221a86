package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.BackendServerId;

/**
 * Load of the backend servers: this host's own requests, counted exactly, and those of the other hosts by their latest
 * reports. Each own request holds a ticket; closing a ticket is idempotent.
 */
public final class ServerLoads {

    private static final class LocalLoad {
        private int requests;
        private int promptTokens;
        private int heldTokens;
    }

    private final Map<BackendServerId, LocalLoad> local = new HashMap<>();
    private Map<BackendServerId, HostReport.ServerLoad> remote = Map.of();

    /** Sums the loads of the other hosts when they are read next; null if they have not changed. */
    private Supplier<Map<BackendServerId, HostReport.ServerLoad>> changedRemote;

    /** Accounts for a request on a server, from its dispatch until {@link #close()}. */
    public final class Ticket implements AutoCloseable {

        private final BackendServerId server;
        private final int heldTokens;
        private int promptTokens;
        private boolean closed;

        private Ticket(BackendServerId server, int promptTokens, int heldTokens) {
            this.server = server;
            this.promptTokens = promptTokens;
            this.heldTokens = heldTokens;
        }

        /** Records that prefill is complete. */
        public void promptRead() {
            if (!closed) {
                local.get(server).promptTokens -= promptTokens;
                promptTokens = 0;
            }
        }

        @Override
        public void close() {
            if (closed) {
                return;
            }
            promptRead();
            closed = true;
            LocalLoad load = local.get(server);
            load.requests--;
            load.heldTokens -= heldTokens;
            if (load.requests == 0) {
                local.remove(server);
            }
        }
    }

    /**
     * Starts to count a request, when it is dispatched.
     *
     * @param server the server
     * @param promptTokens prompt tokens that the server has to process; 0 if none
     * @param heldTokens tokens that the request occupies in the server's memory
     * @return the ticket to close when the request ends
     */
    public Ticket open(BackendServerId server, int promptTokens, int heldTokens) {
        LocalLoad load = local.computeIfAbsent(server, id -> new LocalLoad());
        load.requests++;
        load.promptTokens += promptTokens;
        load.heldTokens += heldTokens;
        return new Ticket(server, promptTokens, heldTokens);
    }

    /**
     * Replaces the load of the other hosts.
     *
     * @param loads sum of their loads for each server
     */
    public void replaceRemoteLoads(Map<BackendServerId, HostReport.ServerLoad> loads) {
        remote = Map.copyOf(loads);
        changedRemote = null;
    }

    /**
     * Replaces the load of the other hosts when it is read next, since most reports arrive between two placements.
     *
     * @param loads sums their loads for each server
     */
    public void remoteLoadsChanged(Supplier<Map<BackendServerId, HostReport.ServerLoad>> loads) {
        changedRemote = loads;
    }

    private HostReport.ServerLoad remoteLoad(BackendServerId server) {
        if (changedRemote != null) {
            replaceRemoteLoads(changedRemote.get());
        }
        return remote.get(server);
    }

    /**
     * Returns the number of this host's requests on a server.
     *
     * @param server the server
     * @return requests in progress
     */
    public int requests(BackendServerId server) {
        LocalLoad load = local.get(server);
        return load == null ? 0 : load.requests;
    }

    /**
     * Returns the prompt tokens that a server still has to process, for all hosts.
     *
     * @param server the server
     * @return tokens
     */
    public int promptTokens(BackendServerId server) {
        LocalLoad localLoad = local.get(server);
        HostReport.ServerLoad remoteLoad = remoteLoad(server);
        return (localLoad == null ? 0 : localLoad.promptTokens) + (remoteLoad == null ? 0 : remoteLoad.promptTokens());
    }

    /**
     * Returns the tokens that requests of all hosts occupy in a server's memory.
     *
     * @param server the server
     * @return tokens
     */
    public int heldTokens(BackendServerId server) {
        LocalLoad localLoad = local.get(server);
        HostReport.ServerLoad remoteLoad = remoteLoad(server);
        return (localLoad == null ? 0 : localLoad.heldTokens) + (remoteLoad == null ? 0 : remoteLoad.heldTokens());
    }

    /**
     * Returns this host's own load, for its report to other hosts.
     *
     * @return the load of each server on which it has language requests
     */
    public List<HostReport.ServerLoad> localLoads() {
        List<HostReport.ServerLoad> loads = new ArrayList<>();
        local.forEach((server, load) -> {
            if (load.heldTokens > 0) {
                loads.add(new HostReport.ServerLoad(server, load.promptTokens, load.heldTokens));
            }
        });
        return loads;
    }
}
