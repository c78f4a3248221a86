package org.guavathread.core.config;

import java.util.List;

import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetFault;

/** The result of offering a sheet to a host. */
public sealed interface Acceptance {

    /**
     * The sheet came into force.
     *
     * @param sheet the sheet
     * @param audit entry for the audit trail
     */
    record InForce(Sheet sheet, AuditRecord audit) implements Acceptance {}

    /**
     * The same sheet or a newer one is in force already.
     *
     * @param offered the offered version
     * @param inForce the version in force
     */
    record NotNewer(SheetVersion offered, SheetVersion inForce) implements Acceptance {}

    /**
     * The sheet has the version in force but different contents; it is refused, and operators must publish a new version.
     *
     * @param version the version
     * @param digest digest of the refused sheet
     * @param digestInForce digest of the sheet in force
     * @param source where the sheet came from
     */
    record Conflict(SheetVersion version, String digest, String digestInForce, String source) implements Acceptance {}

    /**
     * The sheet is not valid.
     *
     * @param version its version; 0 if it has no readable version
     * @param faults its faults
     * @param source where the sheet came from
     */
    record Refused(long version, List<SheetFault> faults, String source) implements Acceptance {

        /** Copies the faults. */
        public Refused {
            faults = List.copyOf(faults);
        }
    }
}
