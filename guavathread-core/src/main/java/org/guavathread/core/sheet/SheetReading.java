package org.guavathread.core.sheet;

import java.util.List;

/** What came of reading a sheet. */
public sealed interface SheetReading {

    /**
     * The document is a valid sheet.
     *
     * @param sheet the sheet
     * @param digest digest of its canonical form, see {@link SheetWriter#digest}
     */
    record Valid(Sheet sheet, String digest) implements SheetReading {}

    /**
     * The document is rejected as a whole.
     *
     * @param version the version that it carries, 0 if it has no readable version
     * @param faults every fault that was found, at least one
     */
    record Invalid(long version, List<SheetFault> faults) implements SheetReading {

        /** Copies the faults. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }

    /**
     * The document is a manifest: the reader fetches its parts and calls {@link SheetReader#readParts}.
     *
     * @param manifest the manifest
     */
    record Parts(SheetManifest manifest) implements SheetReading {}

    /**
     * Some parts are missing or carry another version than the manifest, which happens while a sheet is being
     * published: the reader fetches the manifest and the parts again.
     *
     * @param manifest the manifest
     * @param parts the names of these parts
     */
    record RetryParts(SheetManifest manifest, List<String> parts) implements SheetReading {

        /** Copies the names. */
        public RetryParts {
            parts = List.copyOf(parts);
        }
    }
}
