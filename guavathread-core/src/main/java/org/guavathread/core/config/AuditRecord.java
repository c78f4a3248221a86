package org.guavathread.core.config;

import java.util.List;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.SheetChange;

/**
 * Entry of the audit trail, written when a version comes into force.
 *
 * @param version the version
 * @param previous the version that it replaced; {@link SheetVersion#NONE} after a start
 * @param digest digest of its canonical form
 * @param changes what differs from the replaced version; empty after a start
 * @param source where it came from: {@code "service"} or the name of a host
 * @param atMillis when it came into force, in milliseconds
 */
public record AuditRecord(
        SheetVersion version,
        SheetVersion previous,
        String digest,
        List<SheetChange> changes,
        String source,
        long atMillis) {

    /** Copies the changes. */
    public AuditRecord {
        changes = List.copyOf(changes);
    }
}
