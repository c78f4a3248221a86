package org.guavathread.core.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetChange;
import org.guavathread.core.sheet.SheetDiff;
import org.guavathread.core.sheet.SheetReadResult;

/**
 * Decides which sheet is in force: the newest valid one, never an older one.
 *
 * <pre>{@code
 * Acceptance result = acceptance.offer(valid, "service", now);
 * }</pre>
 */
public final class ConfigAcceptance {

    /** A whole day, in which 670 changes are expected, would exceed the memory limit; the log holds the older records. */
    private static final int AUDIT_RECORDS_KEPT = 100;

    private final Deque<AuditRecord> audit = new ArrayDeque<>();
    private Sheet inForce;
    private String digest = "";
    private Optional<Acceptance.Refused> lastRefused = Optional.empty();

    /**
     * Offers a sheet that was read.
     *
     * @param reading a valid or an invalid sheet
     * @param source {@code "service"} or the name of the sending host, for the audit trail
     * @param nowMillis the current time
     * @return the result
     * @throws IllegalArgumentException if the reading is a manifest or incomplete; read its parts first
     */
    public Acceptance offer(SheetReadResult reading, String source, long nowMillis) {
        if (reading instanceof SheetReadResult.Invalid invalid) {
            Acceptance.Refused refused = new Acceptance.Refused(invalid.version(), invalid.faults(), source);
            lastRefused = Optional.of(refused);
            return refused;
        }
        if (reading instanceof SheetReadResult.Valid valid) {
            return offerValid(valid, source, nowMillis);
        }
        throw new IllegalArgumentException("A " + reading.getClass().getSimpleName()
                + " is not a complete sheet; call SheetReader.readParts until it returns a valid or an invalid one.");
    }

    private Acceptance offerValid(SheetReadResult.Valid valid, String source, long nowMillis) {
        Sheet sheet = valid.sheet();
        SheetVersion current = version();
        if (sheet.version().equals(current) && !valid.digest().equals(digest)) {
            return new Acceptance.Conflict(current, valid.digest(), digest, source);
        }
        if (!sheet.version().isNewerThan(current)) {
            return new Acceptance.NotNewer(sheet.version(), current);
        }
        List<SheetChange> changes = inForce == null ? List.of() : SheetDiff.between(inForce, sheet);
        AuditRecord record = new AuditRecord(sheet.version(), current, valid.digest(), changes, source, nowMillis);
        inForce = sheet;
        digest = valid.digest();
        audit.addFirst(record);
        if (audit.size() > AUDIT_RECORDS_KEPT) {
            audit.removeLast();
        }
        if (lastRefused.isPresent()
                && lastRefused.get().version() <= sheet.version().value()) {
            lastRefused = Optional.empty();
        }
        return new Acceptance.InForce(sheet, record);
    }

    /**
     * Returns the sheet in force.
     *
     * @return the sheet, or empty before the first one
     */
    public Optional<Sheet> inForce() {
        return Optional.ofNullable(inForce);
    }

    /**
     * Returns the version in force.
     *
     * @return the version; {@link SheetVersion#NONE} before the first one
     */
    public SheetVersion version() {
        return inForce == null ? SheetVersion.NONE : inForce.version();
    }

    /**
     * Returns the digest of the sheet in force.
     *
     * @return 64 hex digits; empty before the first sheet
     */
    public String digest() {
        return digest;
    }

    /**
     * Lists the latest changes.
     *
     * @return audit records, newest first
     */
    public List<AuditRecord> audit() {
        return List.copyOf(audit);
    }

    /**
     * Returns the last refused sheet, until a sheet of its version or a newer one is in force.
     *
     * @return the refusal with its faults
     */
    public Optional<Acceptance.Refused> lastRefused() {
        return lastRefused;
    }
}
