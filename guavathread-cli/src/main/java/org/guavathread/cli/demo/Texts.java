package org.guavathread.cli.demo;

/** Text helpers for the output of the demo. */
final class Texts {

    /** Keeps output lines within 120 columns; indentation and label take 49 of them. */
    private static final int MAX_LENGTH = 71;

    private Texts() {}

    static String truncated(String text) {
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH - 3) + "...";
    }
}
