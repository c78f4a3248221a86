package org.guavathread.core.registry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;

/**
 * Tells the processes of a server apart. An entry describes the process that wrote it; once another process has answered
 * under the server's id, the entry is outdated until that process, or a later one, writes its own.
 */
final class ServerProcesses {

    /** How long a process is remembered after its entry has gone: longer than any stream lasts. */
    private static final long RETENTION_MILLIS = 120_000;

    /** An entry, and since when this host has it. */
    private record Entry(long startedAtMillis, long sinceMillis) {}

    /** A process that answers in place of the one that wrote an entry. */
    private record Replacement(long entryStartedAtMillis, long startedAtMillis, EngineStage stage) {}

    /** The version of a process, from its own entry; it does not expire while the entry is the server's latest. */
    private record Registered(SoftwareVersion version, long expiresAtMillis) {}

    private final Map<BackendServerId, Entry> entries = new HashMap<>();
    private final Map<BackendServerId, Replacement> replacements = new HashMap<>();
    private final Map<ServerProcess, Registered> registered = new HashMap<>();

    /** Records an entry; returns what is known of the process that answers now. */
    Worker entryRead(Worker entry, long nowMillis) {
        Entry known = entries.get(entry.id());
        if (known == null || known.startedAtMillis() != entry.startedAtMillis()) {
            entries.put(entry.id(), new Entry(entry.startedAtMillis(), nowMillis));
            if (known != null) {
                entryGone(new ServerProcess(entry.id(), known.startedAtMillis()), nowMillis);
            }
        }
        registered.put(entry.process(), new Registered(entry.softwareVersion(), Long.MAX_VALUE));
        Replacement replacement = replacements.get(entry.id());
        if (replacement == null) {
            return entry;
        }
        if (replacement.entryStartedAtMillis() != entry.startedAtMillis()) {
            replacements.remove(entry.id());
            return entry;
        }
        return entry.replacedBy(replacement.startedAtMillis(), replacement.stage());
    }

    /**
     * Records that a process has stated its start time in an answer to a request that was sent at a time; returns what is
     * known of it if it is not the process that was known.
     */
    Optional<Worker> stated(Worker known, long startedAtMillis, EngineStage stage, long askedAtMillis) {
        Entry entry = entries.get(known.id());
        boolean isOther = known.startedAtMillis() != startedAtMillis && entry.startedAtMillis() != startedAtMillis;
        // An answer that was asked for before the entry arrived may come from a process before the one of the entry.
        if (!isOther || entry.startedAtMillis() == 0 || askedAtMillis < entry.sinceMillis()) {
            return Optional.empty();
        }
        EngineStage nextStage = stage == EngineStage.NONE ? known.stage() : stage;
        replacements.put(known.id(), new Replacement(entry.startedAtMillis(), startedAtMillis, nextStage));
        return Optional.of(known.replacedBy(startedAtMillis, nextStage));
    }

    /** Returns the version for which a value stands, if the process has registered; otherwise the value itself. */
    SoftwareVersion resolve(SoftwareVersion version) {
        return version.unknownProcess()
                .map(registered::get)
                .map(r -> version.resolvedBy(r.version()))
                .orElse(version);
    }

    private void entryGone(ServerProcess process, long nowMillis) {
        registered.computeIfPresent(process, (key, r) -> new Registered(r.version(), nowMillis + RETENTION_MILLIS));
    }

    /** Forgets servers that are not present, and processes whose entries went long ago. */
    void expire(Set<BackendServerId> present, long nowMillis) {
        entries.entrySet().removeIf(each -> {
            boolean isGone = !present.contains(each.getKey());
            if (isGone) {
                entryGone(new ServerProcess(each.getKey(), each.getValue().startedAtMillis()), nowMillis);
            }
            return isGone;
        });
        replacements.keySet().retainAll(present);
        registered.values().removeIf(r -> r.expiresAtMillis() < nowMillis);
    }
}
