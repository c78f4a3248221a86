package org.guavathread.core.sheet;

/**
 * One difference between two sheets.
 *
 * @param kind whether the entry was added, removed or changed
 * @param subject the kind of entry that differs
 * @param name the name of the entry; empty for fields of the sheet itself
 * @param field the field that changed; empty if the entry was added or removed as a whole
 * @param before the old value as text; empty if there was none
 * @param after the new value as text; empty if there is none
 */
public record SheetChange(Kind kind, Subject subject, String name, String field, String before, String after) {

    /** How an entry differs. */
    public enum Kind {
        /** The entry is only in the new sheet. */
        ADDED,
        /** The entry is only in the old sheet. */
        REMOVED,
        /** A field of the entry has another value. */
        CHANGED
    }

    /** Kind of entry that differs. */
    public enum Subject {
        /** A field of the sheet itself. */
        SHEET("", ""),
        /** A data centre. */
        DATA_CENTRE("dataCentres", "data centre"),
        /** A host. */
        HOST("hosts", "host"),
        /** A workspace, without its API keys. */
        WORKSPACE("workspaces", "workspace"),
        /** An API key of a workspace: added when issued, removed when withdrawn. */
        API_KEY("", "API key of workspace"),
        /** A model. */
        MODEL("models", "model"),
        /** A backend server. */
        BACKEND_SERVER("backendServers", "backend server"),
        /** A route. */
        ROUTE("routes", "route");

        private final String listField;
        private final String label;

        Subject(String listField, String label) {
            this.listField = listField;
            this.label = label;
        }

        String listField() {
            return listField;
        }
    }

    /** Returns a one-line description for operators, for example {@code workspace w1: rate 2000 -> 3000}. */
    @Override
    public String toString() {
        String entry = (subject.label + " " + name).strip();
        return switch (kind) {
            case ADDED -> entry + " added" + (after.isEmpty() ? "" : ": " + after);
            case REMOVED -> entry + " removed" + (before.isEmpty() ? "" : ": " + before);
            case CHANGED -> (entry.isEmpty() ? "" : entry + ": ") + field + " " + before + " -> " + after;
        };
    }
}
