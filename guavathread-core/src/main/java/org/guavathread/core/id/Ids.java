package org.guavathread.core.id;

/** Validation shared by the id types of this package. */
final class Ids {

    private Ids() {}

    static void requireName(String what, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("The " + what + " is " + (value == null ? "missing" : "blank")
                    + "; give a name of at least one visible character.");
        }
    }
}
