package org.guavathread.core.sheet;

import java.util.List;

/** Result of reading a sheet. */
public sealed interface SheetReadResult {

    /**
     * The document is a valid sheet.
     *
     * @param sheet the sheet
     * @param digest digest of its canonical form, see {@link SheetWriter#digest}
     */
    record Valid(Sheet sheet, String digest) implements SheetReadResult {}

    /**
     * The document is rejected.
     *
     * @param version the version given in the document, 0 if it is missing or unreadable
     * @param faults every fault that was found, at least one
     */
    record Invalid(long version, List<SheetFault> faults) implements SheetReadResult {

        /** Copies the list of faults. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }

    /**
     * The document is a manifest; the caller fetches its parts and then calls {@link SheetReader#readParts}.
     *
     * @param manifest the manifest
     */
    record Parts(SheetManifest manifest) implements SheetReadResult {}

    /**
     * Some parts are missing or have a version other than that of the manifest, as happens while a sheet is being
     * published; the caller fetches the manifest and the parts again.
     *
     * @param manifest the manifest
     * @param parts the names of the missing or outdated parts
     */
    record RetryParts(SheetManifest manifest, List<String> parts) implements SheetReadResult {

        /** Copies the list of names. */
        public RetryParts {
            parts = List.copyOf(parts);
        }
    }
}
