package org.guavathread.core.sheet;

import java.util.List;

import org.guavathread.core.id.SheetVersion;

/**
 * Lists the parts of a sheet that is too large for one value of the configuration service.
 *
 * @param version the version that every part must carry
 * @param parts the names of the parts in the configuration service
 */
public record SheetManifest(SheetVersion version, List<String> parts) {

    /** Copies the list of names. */
    public SheetManifest {
        parts = List.copyOf(parts);
    }
}
