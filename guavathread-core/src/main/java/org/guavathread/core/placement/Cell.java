package org.guavathread.core.placement;

import java.util.List;

import org.guavathread.core.sheet.BackendServer;

/**
 * A cell of the sheet with its engines, active and leaving.
 *
 * @param id the cell
 * @param engines its engines
 */
public record Cell(CellId id, List<BackendServer> engines) {

    /** Copies the engines. */
    public Cell {
        engines = List.copyOf(engines);
    }
}
